@promise-10 @guard-rails
Feature: The guard rails know the present load
  Agents tell how many requests hold a slot; kumquatportctl asks them before it
  takes a failure domain out.

  Scenario: A failure domain whose work the rest cannot carry
    Given a deployment of 3 storefront and 1 manuals servers with 1 slot each
    When 3 storefront requests hold a slot
    Then taking out "accra-c" with all agents asked is held back for "storefront"
    And the reason is "the rest has 2 slots for 3 in use"
    And without agents asked the same command is carried out

  Scenario: A failure domain with the only backend server of a service
    Given a deployment of 3 storefront and 1 manuals servers with 1 slot each
    Then taking out "accra-a" with all agents asked is held back for "manuals"
    And the reason is "no backend server is left to take its work"
    And taking out "accra-b" with all agents asked is carried out
