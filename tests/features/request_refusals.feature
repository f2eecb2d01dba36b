@alone @issue-5 @promise-3
Feature: Refusals come at once

  Scenario Outline: Refusals while overloaded
    Given a warm backend server of 50 ms a request beside a request handler
    And the request handler has learnt its latency
    When requests come at <times> times its capacity for 6 s
    Then every refusal was answered within 50 ms of the decision
    And every refusal said that it did not run and when to come back

    Examples:
      | times |
      | 2     |
      | 5     |
