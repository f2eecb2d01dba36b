@lease
Feature: The platform refuses writes of a former lease holder
  The lease holder stores the members at the platform. The platform refuses
  writes of a former holder by object version, whatever the holder's own clock.

  Scenario: A suspended holder resumes after another balancer took the lease
    Given a deployment with 3 balancers that compete for the lease
    When the lease holder is suspended
    Then another balancer holds the lease within 40 s
    When the former lease holder is resumed
    Then the lease holder does not change for 8 s
    And the members at the platform include the lease holder

  Scenario: Writes of the holder arrive after another balancer took the lease
    Given a deployment with 3 balancers that compete for the lease over links that can stall
    When the link from the lease holder to the platform stalls
    Then another balancer holds the lease within 40 s
    When the stalled link of the former lease holder delivers what it held
    Then the lease holder does not change for 8 s
    And the platform refused a late write
    And the members at the platform include the lease holder
