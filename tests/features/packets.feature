Feature: Real processes carry flows between third-party clients and servers

  Scenario: Operation without faults
    Given balancers, agents and the store run as processes
    When clients send requests for 4 seconds
    Then all requests are served
    And the metrics of an agent show its flows
    And every process exits with code 0

  Scenario Outline: Injected faults, seed <seed>
    When the soak test runs with seed <seed> for 10 seconds
    Then the soak test finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Machines come, go and change hands
    When the history of seed 1 is played for 12 seconds
    Then no rule is broken
