@issue-5 @promise-3
Feature: One client account does not starve another

  @simulated-time
  Scenario Outline: One client account at ten times its share
    Given a warm backend server of 50 ms a request and seed <seed> beside a request handler
    And the request handler has learnt its latency
    When the guild asks for 0.3 of the capacity for 8 s alone
    And then for 8 s beside a client account that asks for 10 times its share
    Then the guild's 99th percentile is within 1.5 of what it was alone
    And none of the guild's requests was refused

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

  Scenario: Feeds hold no slots
    Given a warm backend server of 50 ms a request beside a request handler
    And the request handler has learnt its latency
    When 200 callers hold a feed open and 50 orders are sent
    Then all 50 orders are answered

  Scenario: Slow callers that pull leave room for orders
    Given a warm backend server of 50 ms a request beside a request handler
    And the request handler has learnt its latency
    When 8 slow callers pull twice and 30 orders are sent while they do
    Then all 30 orders are answered
