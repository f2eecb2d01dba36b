@promise-10 @configuration
Feature: A document takes effect as a whole and once, and only if it is accepted
  Operators update concurrently, responses are lost and documents are invalid.
  The outcome that the console or kumquatportctl reports is the outcome at the
  platform.

  Scenario: Two operators update the same version concurrently
    Given 2 consoles behind the fault proxy with up to 20 ms of jitter
    When two operators apply drafts concurrently 200 times at different consoles
    Then exactly one of the two drafts is accepted each time
    And the other operator is shown both documents each time
    And the document in force after each update is the accepted draft as a whole
    And the audit log has an entry for every accepted document

  Scenario Outline: An update meets a fault between console and platform
    Given a console behind a relay that injects faults into updates
    When <count> updates are applied with the fault "<fault>"
    Then 0 updates that took effect are reported as failed
    And 0 updates that did not take effect are reported as accepted
    And <reported> updates are first reported as "<heading>"

    Examples:
      | fault                                         | count | heading       | reported |
      | answer lost                                   | 20    | Accepted      | 20       |
      | lost on the way                               | 20    | Accepted      | 20       |
      | repeated on the way                           | 20    | Accepted      | 20       |
      | late after its connection broke               | 20    | Accepted      | 20       |
      | answer lost, another operator on top          | 20    | Accepted      | 20       |
      | answer lost, 40 other updates on top          | 2     | Accepted      | 2        |
      | another operator first, answer lost           | 20    | Conflict      | 20       |
      | another operator first, late arrival          | 20    | Conflict      | 20       |
      | answer lost, then silence                     | 2     | Not known yet | 2        |
      | lost on the way, then silence                 | 2     | Not known yet | 2        |

  Scenario: 500 invalid documents leave the document in force unchanged
    Given a platform with a document in force
    When 500 invalid documents are applied, 25 of them by separate processes
    Then each invalid document is rejected with the path of every fault
    And the document in force is byte for byte the same after each attempt
