@bad-input
Feature: Bad input is dropped with a counted reason
  Whatever arrives at a balancer or agent, no process logs a traceback, and
  callers are served as before.

  Background:
    Given a deployment under bad input with 2 storefront and 1 manuals servers

  Scenario: Truncated datagrams to a balancer
    When 500 truncated datagrams with seed 11 go to a balancer
    Then the balancer counts 500 more dropped
    And callers under bad input are answered

  Scenario: Oversized datagrams to a balancer
    When 100 oversized datagrams with seed 12 go to a balancer
    Then the balancer counts 100 more dropped
    And callers under bad input are answered

  Scenario: Random datagrams to a balancer
    When 500 random datagrams with seed 13 go to a balancer
    Then the balancer and the agents count 500 more dropped
    And callers under bad input are answered

  Scenario Outline: Bad forwards to an agent
    When 300 <kind> datagrams with seed 14 go to an agent
    Then the agent counts 300 more refused forwards
    And callers under bad input are answered

    Examples:
      | kind      |
      | random    |
      | truncated |
      | oversized |
      | forged    |
      | misplaced |

  Scenario: Packets of one service at the entry of another
    When packets of an open storefront flow go to the manuals entry 50 times
    Then the balancer counts 50 more dropped as foreign_connection
    And no backend server saw a request of another service

  Scenario: Replayed datagrams
    When a caller orders once and all its datagrams are replayed 5 times
    Then the order under replay ran once and the caller's connection lives
    And callers under bad input are answered

  Scenario: Mangled copies of an open flow's packets
    When 500 mangled copies of an open flow's packets arrive with seed 15
    Then the caller's connection under bad input lives
    And callers under bad input are answered

  Scenario: Mangled openings
    When 300 mangled openings with seed 16 go to a balancer
    Then at most 100 connections are half open at each agent
    And callers under bad input are answered
    And within 45 seconds no agent holds a connection

  Scenario Outline: Authentic forwards of bad packets to an agent
    When 300 authentic <kind> forwards with seed 17 go to an agent
    Then the agent counts 300 more dropped
    And callers under bad input are answered

    Examples:
      | kind      |
      | random    |
      | truncated |

  Scenario: Callers that open connections and say nothing
    When 400 callers send an opening packet and nothing more
    Then at most 100 connections are half open at each agent
    And callers under bad input are answered
    And within 15 seconds no agent holds a connection

  Scenario: Callers that connect, say nothing and vanish
    When 60 callers connect and vanish without a word
    Then within 45 seconds no agent holds a connection
    And callers under bad input are answered

  Scenario: Garbage at the control ports
    When garbage, a huge length and badly signed frames go to control ports
    Then the badly signed frames are refused with KQ-4014
    And callers under bad input are answered
