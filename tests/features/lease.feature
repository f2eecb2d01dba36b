@lease
Feature: A paused lease holder's writes are refused
  Members are kept at the platform by the holder of a lease. Its authority ends
  at the platform, by the versions of the objects, not by its own clock.

  Scenario: The holder is frozen, another takes over, the holder resumes
    Given a lease among 3 balancers
    When the lease's holder is frozen
    Then another balancer holds the lease within 40 s
    When the former holder of the lease resumes
    Then the lease stays where it is for 8 s
    And the members at the platform are those of the present holder

  Scenario: Writes of the holder arrive after another took over
    Given a lease among 3 balancers whose links to the platform can stall
    When the link of the lease's holder to the platform stalls
    Then another balancer holds the lease within 40 s
    When the link of the former holder of the lease lets go what it held
    Then the lease stays where it is for 8 s
    And the platform refused a write of the lease
    And the members at the platform are those of the present holder
