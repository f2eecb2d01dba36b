Feature: Flows whose two ends are not ours are carried by real processes

  Scenario: A calm while
    Given balancers, agents and the store as processes
    When clients ask for 4 seconds
    Then all requests are served
    And the metrics of an agent show its flows
    And every process ends with code 0

  Scenario Outline: Faults from outside, seed <seed>
    When seed <seed> of the soak is played for 10 seconds
    Then no promise is broken

    Examples:
      | seed |
      | 1    |
      | 2    |
