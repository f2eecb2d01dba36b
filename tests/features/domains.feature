@domains
Feature: Failure domains are taken out of service and returned
  A few seconds after operators take a failure domain out of service, it
  receives no packets. Flows in other failure domains continue, and a returned
  failure domain is not overloaded.

  @promise-4 @promise-1
  Scenario: A failure domain is taken out and returned under load
    Given a lakes deployment with 7 desk and 3 archive servers under load
    When operators take duluth out of service
    Then no packet reaches duluth more than 4 s after acceptance
    And no flow outside duluth is broken
    When operators return duluth to service
    Then new flows open in duluth within 10 s
    And no backend server collapsed under load
    And no request reached a wrong service

  @promise-4
  Scenario: A balancer suspended during the change forwards nothing after it resumes
    Given an accra deployment with 7 storefront and 3 manuals servers under load
    When balancer-1 is suspended and operators take accra-b out of service
    And balancer-1 is resumed 6 s later
    Then no packet reaches accra-b more than 4 s after acceptance
    And no flow outside accra-b is broken

  @promise-4
  Scenario: The platform goes down right after acceptance
    Given an accra deployment with 7 storefront and 3 manuals servers under load
    When operators take accra-c out of service and the platform goes down at once
    Then no packet reaches accra-c more than 4 s after acceptance
    And no flow outside accra-c is broken

  @promise-8
  Scenario Outline: A leaving backend server receives no new requests
    Given an accra deployment with 7 storefront and 3 manuals servers under load
    When the platform is <state> and storefront-1 starts to leave
    Then storefront-1 receives no new requests 3 s later
    And no flow is broken while storefront-1 leaves

    Examples:
      | state |
      | up    |
      | down  |
      | slow  |

  @promise-1 @promise-5
  Scenario: The platform is down while a balancer restarts and backend servers stop
    Given an accra deployment with 7 storefront and 3 manuals servers under load
    When the platform goes down for 40 s
    And meanwhile a balancer restarts, one backend server leaves and another crashes
    Then requests are answered in every 5 s of the outage
    And only flows of the crashed backend server are broken
    And no request reached a wrong service

  @promise-1
  Scenario: Two balancers are killed at once, twice
    Given an accra deployment with 7 storefront and 3 manuals servers under load
    When two balancers are killed at once and restarted, twice
    Then no flow is broken while balancers are killed
