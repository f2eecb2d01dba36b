@flows
Feature: Established flows survive planned changes and crashes of balancers
  Feeds stay open and orders and pulls complete while balancers and backend
  servers are replaced, drained, killed or cut off from each other.

  @promise-1 @promise-9
  Scenario: Rolling replacement of every balancer and backend server
    Given flows through a lakes deployment with 7 desk and 3 archive servers
    And 4 feeds and 2 workers to each service
    When every backend server and every balancer is replaced
    Then the replacements caused at least 10 table changes
    And no flow is broken
    And no request reached a wrong service
    And every agent that left exits with code 0 once its feeds end

  @promise-1
  Scenario: Balancers are killed and added under load
    Given flows through an accra deployment with 7 storefront and 3 manuals servers
    And 6 feeds and 2 workers to each service
    When each balancer is killed and a new one joins
    Then no flow is broken
    And no request reached a wrong service

  @promise-1 @promise-2
  Scenario: A balancer receives no control traffic for 30 seconds
    Given flows through a lakes deployment with the fault proxy at "peers->balancer-2"
    And 4 feeds and 2 workers to each service
    When balancer-2 receives no control traffic for 30 s while servers join and leave
    Then no flow is broken
    And no request reached a wrong service

  Scenario: Callers detect that an agent was killed
    Given flows through an accra deployment with 7 storefront and 3 manuals servers
    And 6 feeds and 2 workers to each service
    When the agent of a storefront server is killed
    Then the callers of its flows detect the loss within 2 s
    And no other flow is broken
    And new flows open at other backend servers within 2 s

  Scenario: An agent is killed and restarted at once
    Given flows through an accra deployment with 7 storefront and 3 manuals servers
    And 6 feeds and 2 workers to each service
    When the agent of a storefront server is killed and restarted
    Then the callers of its flows detect the loss within 2 s
    And no other flow is broken
