@spread
Feature: An accepted document is in force at all processes within 4 s
  The version in force never decreases. Balancers and agents are real
  processes; the version of each is polled ten times per second.

  @promise-10
  Scenario: The platform responds slowly
    Given a deployment with 5 balancers and 3 storefront servers
    When the platform responds with a delay of 1.0 s
    And the next document is accepted
    Then the last document is in force at all running processes within 4 s
    And no process reported a lower document version than before

  @promise-10
  Scenario: The platform fails right after it accepts a document
    Given a deployment with 5 balancers and 3 storefront servers
    When the next document is accepted and published to 2 balancers
    And the platform goes down and stays down
    Then the last document is in force at all running processes within 4 s
    And no process reported a lower document version than before

  @promise-10
  Scenario: A balancer is suspended while a document is accepted
    Given a deployment with 5 balancers and 3 storefront servers
    When process balancer-2 is suspended
    And the next document is accepted
    Then the last document is in force at all processes not suspended within 4 s
    When the platform goes down and stays down
    And process balancer-2 is resumed
    Then the last document is in force at all running processes within 4 s
    And no process reported a lower document version than before

  @promise-10
  Scenario: Processes are restarted one after another while the platform is down
    Given a deployment with 5 balancers and 3 storefront servers
    When the next document is accepted
    Then the last document is in force at all running processes within 4 s
    When the platform goes down and stays down
    And each balancer is killed and restarted in turn
    And each agent is killed and restarted in turn
    Then the last document is in force at all running processes within 4 s
    And no process reported a lower document version than before

  @promise-10
  Scenario: All balancers are killed at once while the platform is down
    Given a deployment with 5 balancers and 3 storefront servers
    When the platform goes down and stays down
    And all balancers are killed and restarted at once
    Then the last document is in force at all running processes within 10 s
    And no process reported a lower document version than before

  @promise-10
  Scenario: Twenty documents are accepted while processes are killed or suspended
    Given a deployment with 5 balancers and 3 storefront servers
    When 20 documents are accepted while processes are killed or suspended with seed 6
    Then the last document is in force at all running processes within 4 s
    And no process reported a lower document version than before

  @promise-10
  Scenario: Control links to two balancers are cut while a document is accepted
    Given a deployment with 5 balancers and 3 storefront servers whose control links can be cut
    When the control links to balancer-1 and balancer-2 are cut
    And the next document is accepted
    Then the last document is in force at all running processes within 4 s
    When all control links are restored
    And the next document is accepted
    Then the last document is in force at all running processes within 4 s
    And no process reported a lower document version than before

  @promise-10
  Scenario: A document is accepted with all links cut, then the platform fails
    Given a deployment with 5 balancers and 3 storefront servers whose control links can be cut
    When all control links have been cut for 6 s
    And the next document is accepted
    And the platform goes down and stays down
    And all control links are restored
    Then the last document is in force at all running processes within 4 s
    And no process reported a lower document version than before

  @promise-10
  Scenario: The console accepts a document while no balancer reaches the platform
    Given a deployment with 5 balancers and 3 storefront servers, its balancers cut off from the platform
    When an operator takes failure domain accra-b out of service at a console
    Then the last document is in force at all running processes within 4 s
    And no process reported a lower document version than before

  @promise-4
  Scenario: A balancer is suspended before a failure domain is taken out of service
    Given a deployment with 5 balancers and 3 storefront servers
    When process balancer-1 is suspended
    And agent storefront-2 is killed and the test binds its data port
    And the next document takes the failure domain of that agent out of service
    And the platform goes down and stays down
    And 300 opening packets are sent to the storefront entry port of balancer-1
    And process balancer-1 is resumed
    And 300 opening packets are sent to the storefront entry port of balancer-1
    Then the test receives 0 packets at the data port in 4 s
    And the last document is in force at all running processes within 4 s
