@product
Feature: External behavior of the programs
  Settings, exit codes, logs, metrics and certificates as operators see them.

  Scenario Outline: Malformed settings of each program
    When the <program> is started with the malformed setting <change>
    Then the program exits with 2 and logs one line with KQ-1001, a line number and <key>

    Examples:
      | program  | change            | key         |
      | balancer | colour: red       | colour      |
      | agent    | status_port: true | status_port |
      | console  | log: {level: 3}   | log.level   |
      | agent    | data_port: 70000  | data_port   |

  Scenario: The settings check includes certificates
    Given a deployment of balancers and agents
    When the settings of storefront-1 are checked with --check
    Then the program exits with 0 and logs no error code
    When only the private key is replaced
    And the settings of storefront-1 are checked with --check
    Then the program exits with 2 and logs the single error code KQ-1002

  Scenario: Certificates are replaced without closing a connection
    Given a deployment of balancers and agents
    And a caller that reads a feed of storefront
    When the certificate and the private key are replaced
    Then within 10 seconds new connections receive the new certificate
    And the feed continues without a gap
    And no log contains a secret key

  Scenario: A private key that does not match its certificate is rejected
    Given a deployment of balancers and agents
    When only the private key is replaced
    Then within 10 seconds each agent logs KQ-1002 once
    And new connections are still served
    And no log contains a secret key

  Scenario: A process that cannot start reports the reason
    Given a deployment of balancers and agents
    When another process is started with the settings of balancer-1
    Then the program exits with 3 and logs the single error code KQ-1003
    When the process of storefront-1 has stopped
    And only the private key is replaced
    And another process is started with the settings of storefront-1
    Then the program exits with 3 and logs the single error code KQ-1002

  Scenario: Metrics are exported, log lines name their instance, processes stop cleanly
    Given a deployment of balancers and agents
    When one request of each kind is sent to storefront
    Then within 5 seconds the StatsD receiver has
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
    And every received metric is documented
    And every log line names its instance and failure domain
    And each program exits with 0 on SIGTERM
