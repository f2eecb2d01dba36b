@promise-10 @console
Feature: Operators change the document in force with web forms
  The tests drive real consoles over HTTP, without scripts.

  Background:
    Given two consoles with a document in force

  Scenario: Sign in, edit, review, apply
    When ama signs in at the first console
    And ama takes out "accra-a" and adds the failure domain "accra-d"
    And ama sets the weight of "manuals" in "accra-b" to 0.5
    And ama renames the service "manuals" to "leaflets"
    Then the review page lists 10 changes and the document in force is unchanged
    When ama applies the draft at the second console
    Then the console reports accepted and the whole draft is in force
    And the history page of the console lists ama and the change of "accra-a"

  Scenario: A form posted twice takes effect once
    When ama signs in at the first console
    And ama takes out "accra-a" and posts the apply form twice
    Then both responses report accepted with the same version

  Scenario: A draft based on an outdated version
    When ama signs in at the first console
    And ama takes out "accra-a" after kofi applied another draft
    Then the console reports a conflict and shows both documents
    And the document of kofi stays in force

  Scenario Outline: Cross-site request forgery is refused
    When ama signs in at the first console
    And ama takes out "accra-a" and the apply form is posted <how>
    Then the console refuses the post with 403 and the document is unchanged

    Examples:
      | how                          |
      | from another origin          |
      | from a cross-site context    |
      | without its token            |
      | with another session's token |

  Scenario Outline: Tampered tokens are refused
    When ama signs in at the first console
    And ama posts the apply form with <what>
    Then the console answers <status> and the document is unchanged

    Examples:
      | what                      | status |
      | a changed draft           | 400    |
      | a draft of kofi           | 400    |
      | a changed session cookie  | 403    |
      | no session                | 403    |

  Scenario: Failed sign-ins are rate-limited
    When kofi tries 5 wrong passwords at the first console
    Then the console answers 401 each time
    And the correct password is answered 429 during the limit
    And ama can still sign in

  Scenario: Faults are listed and the draft is kept
    When ama signs in at the first console
    And ama enters a service with a used entry port and an invalid method
    Then the page lists both faults and keeps the entered values

  Scenario: Taking out the last failure domain of a service needs confirmation
    When ama signs in at the first console
    And ama takes out all failure domains and applies the draft
    Then the console requires confirmation and names both services
    When ama applies the draft again with the confirmation box checked
    Then the console reports accepted and the whole draft is in force

  Scenario: More load than the remaining slots needs confirmation
    Given a third console that queries 6 agents with 4 of 5 slots in use each
    When ama signs in at the third console
    And ama takes out "accra-a" and applies the draft
    Then the console requires confirmation because 20 slots are left for 24 in use

  Scenario: A stopping console completes an update in progress
    When ama signs in at the first console
    And ama takes out "accra-a" at a slow platform while the console stops
    Then the console reports accepted before it exits with code 0
    And the audit log lists the change of "accra-a"

  Scenario: Consoles are killed during an update
    When ama signs in at the first console
    And the first console is killed 8 times while it applies drafts of ama
    Then each draft is accepted when posted again at the second console
    And each draft took effect exactly once

  Scenario: Pages work on a phone without scripts
    When ama signs in at the first console
    Then every console page has a mobile viewport and no script
    And every console page forbids scripts, frames and caching
