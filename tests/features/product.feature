@product
Feature: The programs as a product
  Settings, exit codes, logs, metrics and certificates, seen from outside.

  Scenario Outline: Malformed settings of each program
    When the product's <program> is given settings with <change>
    Then that program exits with 2 and one line with KQ-1001, a line number and <key>

    Examples:
      | program  | change            | key         |
      | balancer | colour: red       | colour      |
      | agent    | status_port: true | status_port |
      | console  | log: {level: 3}   | log.level   |
      | agent    | data_port: 70000  | data_port   |

  Scenario: The check of settings looks at certificates too
    Given a product deployment
    When the product checks the settings of storefront-1
    Then that program exits with 0 and no code
    When only the product's key is replaced
    And the product checks the settings of storefront-1
    Then that program exits with 2 and a line with KQ-1002

  Scenario: Certificates are replaced without dropping a connection
    Given a product deployment
    And a product caller that reads a feed of storefront
    When the product's certificate and key are replaced
    Then within 10 seconds new callers of the product are shown the new certificate
    And that feed goes on
    And no log of the product holds a key

  Scenario: A key that does not fit its certificate is not taken
    Given a product deployment
    When only the product's key is replaced
    Then within 10 seconds the product's agents log KQ-1002 once each
    And new callers of the product are still served
    And no log of the product holds a key

  Scenario: What cannot start says so
    Given a product deployment
    When a second product process takes the settings of balancer-1
    Then that program exits with 3 and a line with KQ-1003
    When storefront-1 of the product has stopped
    And only the product's key is replaced
    And a second product process takes the settings of storefront-1
    Then that program exits with 3 and a line with KQ-1002

  Scenario: Metrics reach the receiver, logs tell who speaks, stops are clean
    Given a product deployment
    When each kind of product request is sent to storefront
    Then within 5 seconds the product's receiver has
      | metric                                              |
      | agent.storefront-1.requests                         |
      | agent.storefront-1.latency.guild.order.count        |
      | agent.storefront-1.latency.guild.order.p99_us       |
      | agent.storefront-1.flows.opened                     |
      | agent.storefront-1.control.bytes_sent               |
      | agent.storefront-1.resident_bytes                   |
      | balancer.balancer-1.established                     |
      | balancer.balancer-1.control.bytes_received          |
      | balancer.balancer-1.control.cpu_s                   |
    And every metric of the product is on the page of metrics
    And every line of the product's logs names its instance and failure domain
    And each of the product's programs exits with 0 on SIGTERM
