@simulated-time @issue-5 @promise-3
Feature: A backend server that turns cold is not overwhelmed

  Scenario: A cold turn that nobody announces
    Given a warm backend server of 50 ms a request beside a request handler
    And the request handler has learnt its latency
    When requests come at 1.2 times its capacity for 16 s and it turns cold after 2 s
    Then the backend server beside has not collapsed
    And at most 20 requests reached it after the turn before the limit fell
    And it serves at least 0.9 of its capacity from 14 s on
