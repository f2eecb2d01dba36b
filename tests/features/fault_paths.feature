@standins
Feature: Every path between processes can be routed through the fault proxy

  Scenario: All paths are proxied, without faults, with faults and after recovery
    Given a deployment with all paths routed through the fault proxy
    Then callers receive correct responses through the fault proxy
    And every proxied path that is used without faults has passed data
    When every UDP path drops 2 percent, duplicates 2 percent and reorders
    Then callers receive correct responses through the fault proxy
    When the proxied paths to the backend servers are cut
    Then orders through the fault proxy receive no correct response
    When the faults of all proxied paths are removed
    Then within 20 seconds callers receive correct responses through the fault proxy
