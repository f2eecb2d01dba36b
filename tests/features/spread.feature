@spread
Feature: A document is in force at every process within 4 s and never reverts
  Balancers and agents are real processes; each is asked for the version it
  holds ten times a second.

  @promise-10
  Scenario: The platform is slow
    Given a spread of 5 balancers and 3 storefront servers
    When the platform of the spread answers 1.0 s late
    And the spread's next document is accepted
    Then the spread's document is in force everywhere within 4 s
    And no process of the spread showed a lower version than before

  @promise-10
  Scenario: The platform fails right after it accepted
    Given a spread of 5 balancers and 3 storefront servers
    When the spread's next document is accepted and handed to 2 balancers
    And the platform of the spread goes down
    Then the spread's document is in force everywhere within 4 s
    And no process of the spread showed a lower version than before

  @promise-10
  Scenario: A balancer is frozen while a document comes
    Given a spread of 5 balancers and 3 storefront servers
    When balancer-2 of the spread is frozen
    And the spread's next document is accepted
    Then the spread's document is in force at all others within 4 s
    When the platform of the spread goes down
    And balancer-2 of the spread resumes
    Then the spread's document is in force everywhere within 4 s
    And no process of the spread showed a lower version than before

  @promise-10
  Scenario: Processes are replaced while the platform is down
    Given a spread of 5 balancers and 3 storefront servers
    When the spread's next document is accepted
    Then the spread's document is in force everywhere within 4 s
    When the platform of the spread goes down
    And each balancer of the spread is killed and started again in turn
    And each agent of the spread is killed and started again in turn
    Then the spread's document is in force everywhere within 4 s
    And no process of the spread showed a lower version than before

  @promise-10
  Scenario: All balancers are killed at once while the platform is down
    Given a spread of 5 balancers and 3 storefront servers
    When the platform of the spread goes down
    And all balancers of the spread are killed and started again at once
    Then the spread's document is in force everywhere within 10 s
    And no process of the spread showed a lower version than before

  @promise-10
  Scenario: Twenty documents while processes are killed and frozen
    Given a spread of 5 balancers and 3 storefront servers
    When 20 documents of the spread are accepted amid kills and freezes with seed 6
    Then the spread's document is in force everywhere within 4 s
    And no process of the spread showed a lower version than before

  @promise-10
  Scenario: Links into two balancers are cut while a document comes
    Given a spread of 5 balancers and 3 storefront servers whose links can be cut
    When the links into balancer-1 and balancer-2 of the spread are cut
    And the spread's next document is accepted
    Then the spread's document is in force everywhere within 4 s
    When all links of the spread heal
    And the spread's next document is accepted
    Then the spread's document is in force everywhere within 4 s
    And no process of the spread showed a lower version than before

  @promise-10
  Scenario: All links are cut, a document comes, the platform fails, the links heal
    Given a spread of 5 balancers and 3 storefront servers whose links can be cut
    When all links of the spread are cut for 6 s
    And the spread's next document is accepted
    And the platform of the spread goes down
    And all links of the spread heal
    Then the spread's document is in force everywhere within 4 s
    And no process of the spread showed a lower version than before

  @promise-10
  Scenario: The console accepts while no balancer reaches the platform
    Given a spread of 5 balancers and 3 storefront servers cut off from the platform
    When an operator takes accra-b out at a console of the spread
    Then the spread's document is in force everywhere within 4 s
    And no process of the spread showed a lower version than before

  @promise-4
  Scenario: A balancer frozen before a failure domain is taken out
    Given a spread of 5 balancers and 3 storefront servers
    When balancer-1 of the spread is frozen
    And agent storefront-2 of the spread is killed and its port watched
    And the spread's next document takes out its failure domain
    And the platform of the spread goes down
    And 300 opening packets wait at balancer-1 of the spread
    And balancer-1 of the spread resumes
    And 300 opening packets wait at balancer-1 of the spread
    Then the watched port of the spread gets 0 packets in 4 s
    And the spread's document is in force everywhere within 4 s
