@issue-5 @promise-3
Feature: Health reports are hints

  Scenario: Health reports that are frozen, late or inverted
    Given warm backend servers beside with reports true, frozen, late and inverted
    And each request handler has learnt its latency
    When requests come at 1.2 times the capacity of each for 15 s
    Then each serves at least 0.9 of what the one with true reports serves
