@promise-10 @console
Feature: Operators change what is in force by forms
  A real console is driven over HTTP, without scripts.

  Background:
    Given two consoles with a document in force

  Scenario: Sign in, edit, review, apply
    When ama signs in at the first console
    And she takes out "accra-a" and adds the failure domain "accra-d" there
    And she sets the weight of "manuals" in "accra-b" to 0.5
    And she renames the service "manuals" to "leaflets"
    Then the review names 10 changes and nothing is in force yet
    When she applies the draft at the second console
    Then the console says accepted and the draft is in force whole
    And the console's history names ama and the change of "accra-a"

  Scenario: A form posted twice takes effect once
    When ama signs in at the first console
    And she takes out "accra-a" and posts the apply form twice
    Then both answers say accepted as the same version

  Scenario: A draft made from a version that has passed
    When ama signs in at the first console
    And she takes out "accra-a" while kofi brings another version in force
    Then the console shows a conflict with both documents
    And kofi's version stays in force

  Scenario Outline: Posts from elsewhere are refused
    When ama signs in at the first console
    And she takes out "accra-a" and the apply form comes <how>
    Then the console refuses the post with 403 and nothing changes

    Examples:
      | how                          |
      | from another origin          |
      | from a cross-site context    |
      | without its token            |
      | with another session's token |

  Scenario Outline: Tampered tokens are refused
    When ama signs in at the first console
    And she posts the apply form with <what>
    Then the console answers <status> and nothing changes

    Examples:
      | what                      | status |
      | a changed draft           | 400    |
      | a draft of kofi           | 400    |
      | a changed session cookie  | 403    |
      | no session                | 403    |

  Scenario: Wrong passwords are limited
    When kofi tries 5 wrong passwords at the first console
    Then the console answers 401 each time
    And the right password is answered 429 for now
    And ama can still sign in

  Scenario: Faults are named and the draft is kept
    When ama signs in at the first console
    And she enters a service with a used entry port and a wrong method
    Then the console's page names both faults and keeps what was typed

  Scenario: The last failure domain of a service needs a second word
    When ama signs in at the first console
    And she takes out all failure domains and applies
    Then the console holds the draft back and names both services
    When she applies it once more with the box ticked
    Then the console says accepted and the draft is in force whole

  Scenario: More load than the rest can carry needs a second word
    Given a third console that asks 6 agents with 4 of 5 slots busy each
    When ama signs in at the third console
    And she takes out "accra-a" and applies
    Then the console holds the draft back because 20 slots are left for 24

  Scenario: A console that is stopped finishes what it was asked
    When ama signs in at the first console
    And she takes out "accra-a" at a slow platform while the console stops
    Then the console says accepted before it ends with exit code 0
    And the audit names the change of "accra-a"

  Scenario: Consoles that are killed while they apply
    When ama signs in at the first console
    And the first console is killed 8 times while it applies her drafts
    Then each draft posted again at the second console is accepted
    And each of the drafts took effect exactly once

  Scenario: Pages work on a phone without scripts
    When ama signs in at the first console
    Then every console page fits a phone and has no script
    And every console page forbids scripts, frames and caching
