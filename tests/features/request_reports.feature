@issue-5 @promise-3
Feature: Incorrect health reports do not reduce throughput

  Scenario: Health reports that are frozen, late or inverted
    Given warm backend servers with true, frozen, late and inverted health reports
    And each request handler has measured its baseline latency
    When requests are sent at 1.2 times the capacity of each backend server for 15 s
    Then each serves at least 0.9 of the requests served with true reports
