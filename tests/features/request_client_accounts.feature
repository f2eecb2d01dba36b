@issue-5 @promise-3
Feature: A client account cannot starve another

  @simulated-time
  Scenario Outline: A client account sends ten times its share
    Given a request handler in front of a warm backend server with 50 ms median service time and seed <seed>
    And the request handler has measured its baseline latency
    When client account guild sends requests at 0.3 times the capacity for 8 s
    And guild continues for 8 s while another client account sends 10 times its share
    Then the 99th percentile latency of guild is at most 1.5 times its latency alone
    And no request of guild was refused

    Examples:
      | seed |
      | 0    |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |

  Scenario: Feeds do not hold slots
    Given a request handler in front of a warm backend server with 50 ms median service time
    And the request handler has measured its baseline latency
    When 200 callers keep a feed open and 50 orders are sent
    Then all 50 orders are answered

  Scenario: Slow pulls leave capacity for orders
    Given a request handler in front of a warm backend server with 50 ms median service time
    And the request handler has measured its baseline latency
    When 8 slow callers pull twice and 30 orders are sent during the second pull
    Then all 30 orders are answered
