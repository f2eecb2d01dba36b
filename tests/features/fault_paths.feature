@standins
Feature: Every path between processes can lead through the fault proxy

  Scenario: All paths through the proxy, healed and with faults
    Given a deployment whose every path leads through the fault proxy
    Then its callers are answered through the proxy
    And every path of the proxy that is in use at rest has passed something
    When every UDP path loses 2 percent, duplicates 2 percent and reorders
    Then its callers are answered through the proxy
    When the paths to the backend servers are cut for the proxy's test
    Then an order through the proxy is not answered right
    When the paths through the proxy are healed
    Then within 20 seconds all its callers are answered through the proxy
