@promise-10 @ctl
Feature: kumquatportctl does what the console does, for scripts
  Each verb runs as a process of its own; exit codes and JSON are stable.

  Background:
    Given a platform that kumquatportctl reaches

  Scenario: From validation to history
    Then "validate" of a valid document exits with 0
    And "diff" of a valid document exits with 0 and names what is added
    And "apply" of a valid document exits with 0 and it is in force whole
    And "show" exits with 0 and its answer applies again after an edit
    And "history" exits with 0 and lists both versions with their changes
    And "status" exits with 0 and tells the version and what is out

  Scenario: A document that is not valid
    Then "validate" of a broken document exits with 2 and names 3 faults
    And "apply" of a broken document exits with 2 and names 3 faults
    And "apply" of a missing file exits with 2 and names 1 faults
    And nothing was written by kumquatportctl

  Scenario: Wrong usage
    Then kumquatportctl exits with 2 for each wrong usage

  Scenario: A conflict
    Given a document of version 1 that kumquatportctl applied
    Then "apply" of a document on version 0 exits with 3 and shows both

  Scenario: Two shells race
    Given a document of version 1 that kumquatportctl applied
    Then of 8 shells that apply on version 1 at once one exits with 0, 7 with 3

  Scenario: Shells that take failure domains out at once all succeed
    Given a document of version 1 that kumquatportctl applied
    When each call of the platform takes 0.5 s
    Then 2 shells that take out different failure domains both exit with 0

  Scenario: A failure domain leaves and returns by one command
    Given a document of version 1 that kumquatportctl applied
    Then "domain out accra-a" exits with 0 and only that field differs
    And "domain out accra-a" again exits with 0 and writes nothing
    And "domain in accra-a" exits with 0 and only that field differs
    And "domain out accra-x" exits with 2

  Scenario: A guard rail
    Given a document of version 1 that kumquatportctl applied
    Then taking out the last failure domain exits with 6, confirmed with 0

  Scenario: The platform is away
    Given a document of version 1 that kumquatportctl applied
    When the platform goes away
    Then "show" exits with 5
    And "apply" of the document in force exits with 5
    And "domain out accra-a" exits with 5
    And "status" exits with 5

  Scenario: An answer is lost and the platform stays away
    Given a document of version 1 that kumquatportctl applied
    When a shell applies a change whose answer is lost in an outage
    Then it exits with 4 and names its attempt
    When the platform is back for kumquatportctl
    Then "outcome" of the attempt exits with 0
    And "apply" with the attempt's identifier exits with 0 and writes nothing
