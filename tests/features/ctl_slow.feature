@alone @promise-10 @ctl
Feature: kumquatportctl is in time on a slow platform
  Two calls take 3 s of the 5; the rest is the start of the command, which needs
  0.8 s of a processor for itself.

  Background:
    Given a platform that kumquatportctl reaches

  Scenario: A failure domain leaves while the platform is slow
    Given a document of version 1 that kumquatportctl applied
    When each call of the platform takes 1.5 s
    Then "domain out accra-a" is in force within 5 s
