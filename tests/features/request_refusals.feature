@alone @issue-5 @promise-3
Feature: Refusals are sent promptly

  Scenario Outline: Refusals during overload
    Given a request handler in front of a warm backend server with 50 ms median service time
    And the request handler has measured its baseline latency
    When requests are sent at <times> times the capacity for 6 s
    Then every refusal was sent within 50 ms of the decision
    And every refusal has the outcome not-run and a Retry-After header

    Examples:
      | times |
      | 2     |
      | 5     |
