@bad-input
Feature: Invalid input is dropped and counted by reason
  Invalid datagrams and control messages cause no traceback in any process, and
  callers still receive correct answers.

  Background:
    Given a deployment for invalid input with 2 storefront and 1 manuals servers

  Scenario: Truncated datagrams to a balancer
    When 500 truncated datagrams with seed 11 are sent to a balancer
    Then the balancer counts 500 more dropped datagrams
    And callers receive correct answers despite the invalid input

  Scenario: Oversized datagrams to a balancer
    When 100 oversized datagrams with seed 12 are sent to a balancer
    Then the balancer counts 100 more dropped datagrams
    And callers receive correct answers despite the invalid input

  Scenario: Random datagrams to a balancer
    When 500 random datagrams with seed 13 are sent to a balancer
    Then the balancer and the agents count 500 more dropped datagrams
    And callers receive correct answers despite the invalid input

  Scenario Outline: Invalid forwarded datagrams to an agent
    When 300 <kind> datagrams with seed 14 are sent to an agent
    Then the agent counts 300 more refused forwards
    And callers receive correct answers despite the invalid input

    Examples:
      | kind      |
      | random    |
      | truncated |
      | oversized |
      | forged    |
      | misplaced |

  Scenario: Packets of one service sent to the entry port of another
    When packets of an open storefront flow are sent to the manuals entry port 50 times
    Then the balancer counts 50 more datagrams dropped as foreign_connection
    And no backend server received a request for another service

  Scenario: Replayed datagrams
    When a caller orders once and all its datagrams are replayed 5 times
    Then the replayed order ran once and the caller's connection still works
    And callers receive correct answers despite the invalid input

  Scenario: Corrupted copies of the packets of an open flow
    When 500 corrupted copies of an open flow's packets are sent with seed 15
    Then the caller's connection still works despite the invalid input
    And callers receive correct answers despite the invalid input

  Scenario: Corrupted Initial packets
    When 300 corrupted Initial packets with seed 16 are sent to a balancer
    Then each agent has at most 100 half-open connections
    And callers receive correct answers despite the invalid input
    And within 45 seconds no agent has an open connection

  Scenario Outline: Authenticated forwards of invalid packets to an agent
    When 300 authenticated forwards of <kind> packets with seed 17 are sent to an agent
    Then the agent counts 300 more dropped datagrams
    And callers receive correct answers despite the invalid input

    Examples:
      | kind      |
      | random    |
      | truncated |

  Scenario: Handshakes that stop after the Initial packet
    When 400 callers send only an Initial packet
    Then each agent has at most 100 half-open connections
    And callers receive correct answers despite the invalid input
    And within 15 seconds no agent has an open connection

  Scenario: Connections that are abandoned without a request
    When 60 callers connect and abandon the connection without closing it
    Then within 45 seconds no agent has an open connection
    And callers receive correct answers despite the invalid input

  Scenario: Invalid data at the control ports
    When random bytes, oversized lengths and frames with a wrong MAC are sent to control ports
    Then the frames with a wrong MAC are refused with KQ-4014
    And callers receive correct answers despite the invalid input
