@flows
Feature: Established flows survive every planned change
  Feeds stay open, orders and pulls end whole, while balancers and backend
  servers are replaced, drained, killed and parted from each other.

  @promise-1 @promise-9
  Scenario: Rolling replacement of every balancer and backend server
    Given flows through a lakes deployment of 7 desk and 3 archive servers
    And 4 feeds and 2 workers at each service
    When every backend server is replaced while balancers are replaced too
    Then at least 10 table changes were seen by a balancer
    And no flow is broken
    And no request reached a wrong service
    And every server that left stops by itself once its feeds end

  @promise-1
  Scenario: Balancers are killed and join under load
    Given flows through an accra deployment of 7 storefront and 3 manuals servers
    And 6 feeds and 2 workers at each service
    When each balancer is killed and another joins
    Then no flow is broken
    And no request reached a wrong service

  @promise-1 @promise-2
  Scenario: Balancers that do not hear of changes for 30 seconds
    Given flows through a lakes deployment with faults at "peers->balancer-2"
    And 4 feeds and 2 workers at each service
    When balancer-2 hears of no change for 30 s while servers join and leave
    Then no flow is broken
    And no request reached a wrong service

  Scenario: An agent is killed and its callers learn of it
    Given flows through an accra deployment of 7 storefront and 3 manuals servers
    And 6 feeds and 2 workers at each service
    When the agent of a storefront server is killed
    Then the callers of its flows learn of it within 2 s
    And no other flow is broken
    And new flows open elsewhere within 2 s

  Scenario: An agent is killed and restarted at once
    Given flows through an accra deployment of 7 storefront and 3 manuals servers
    And 6 feeds and 2 workers at each service
    When the agent of a storefront server is killed and restarted
    Then the callers of its flows learn of it within 2 s
    And no other flow is broken
