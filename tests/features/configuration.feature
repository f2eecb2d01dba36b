@promise-10 @configuration
Feature: A document is accepted as a whole, once, and only when it is
  Operators race, answers get lost, documents are broken. What the console or
  kumquatportctl says is what the platform holds.

  Scenario: Two operators race for the same version
    Given 2 consoles behind the fault proxy with up to 20 ms of jitter
    When two operators race 200 times through different consoles
    Then exactly one operator wins each configuration race
    And the other operator is shown both documents each time
    And what is in force after each race is the winner's draft whole
    And the audit has an entry for every accepted document

  Scenario Outline: An update is spoiled between console and platform
    Given a console behind a relay that spoils updates
    When <count> updates meet the fault "<fault>"
    Then 0 of them are reported as failed that took effect
    And 0 of them are reported as accepted that did not
    And <told> of them are told as "<heading>" at first

    Examples:
      | fault                                         | count | heading       | told |
      | answer lost                                   | 20    | Accepted      | 20   |
      | lost on the way                               | 20    | Accepted      | 20   |
      | repeated on the way                           | 20    | Accepted      | 20   |
      | late after its connection broke               | 20    | Accepted      | 20   |
      | answer lost, another operator on top          | 20    | Accepted      | 20   |
      | answer lost, 40 other updates on top          | 2     | Accepted      | 2    |
      | another operator first, answer lost           | 20    | Conflict      | 20   |
      | another operator first, late arrival          | 20    | Conflict      | 20   |
      | answer lost, then silence                     | 2     | Not known yet | 2    |
      | lost on the way, then silence                 | 2     | Not known yet | 2    |

  Scenario: 500 broken documents leave what is in force alone
    Given a platform with a document in force
    When 500 broken documents are applied, 25 of them by a process each
    Then each broken document is refused with every fault at a path
    And what is in force stays byte for byte the same throughout
