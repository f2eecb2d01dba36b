@simulated-time @issue-5 @promise-3
Feature: A backend server that becomes cold is not overloaded

  Scenario: A warm backend server becomes cold without reporting it
    Given a request handler in front of a warm backend server with 50 ms median service time
    And the request handler has measured its baseline latency
    When requests are sent at 1.2 times the capacity for 16 s and the backend server becomes cold after 2 s
    Then the backend server has not collapsed
    And at most 20 requests reached it after it became cold and before the limit decreased
    And the goodput is at least 0.9 of the capacity from 14 s on
