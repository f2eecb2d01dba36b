@domains
Feature: A failure domain leaves and returns
  Operators take a failure domain out; a few seconds later no packet goes
  there. Flows elsewhere go on, and what returns is not swamped.

  @promise-4 @promise-1
  Scenario: Out and back under load
    Given a lakes deployment of 7 desk and 3 archive servers under load
    When operators take duluth out
    Then no packet reaches duluth 4 s after acceptance
    And no flow outside of duluth is broken
    When operators bring duluth back
    Then new flows open in duluth within 10 s
    And no backend server has collapsed
    And no request reached a wrong service

  @promise-4
  Scenario: A balancer frozen through the change sends nothing when it resumes
    Given an accra deployment of 7 storefront and 3 manuals servers under load
    When balancer-1 is frozen and operators take accra-b out
    And balancer-1 resumes 6 s later
    Then no packet reaches accra-b 4 s after acceptance
    And no flow outside of accra-b is broken

  @promise-4
  Scenario: The platform goes down right after acceptance
    Given an accra deployment of 7 storefront and 3 manuals servers under load
    When operators take accra-c out and the platform goes down at once
    Then no packet reaches accra-c 4 s after acceptance
    And no flow outside of accra-c is broken

  @promise-8
  Scenario Outline: A leaving backend server gets no new work
    Given an accra deployment of 7 storefront and 3 manuals servers under load
    When the platform is <state> and storefront-1 starts leaving
    Then storefront-1 gets no new work 3 s later
    And no flow is broken by the leaving

    Examples:
      | state |
      | up    |
      | down  |
      | slow  |

  @promise-1 @promise-5
  Scenario: The platform is down while a balancer restarts and servers go
    Given an accra deployment of 7 storefront and 3 manuals servers under load
    When the platform goes down for 40 s
    And a balancer restarts, a server leaves and another crashes meanwhile
    Then requests are answered in every 5 s of it
    And only flows of the crashed server are broken
    And no request reached a wrong service

  @promise-1
  Scenario: Two balancers killed at once, and again
    Given an accra deployment of 7 storefront and 3 manuals servers under load
    When two balancers are killed at once and come back, twice
    Then no flow is broken by the killing
