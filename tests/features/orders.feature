@orders
Feature: Orders run at most once, and what is refused as not run did not run
  Callers repeat their orders under the same key over other connections while
  processes are killed, links are cut, datagrams are lost, delayed, duplicated
  and reordered, and answers are lost.

  @promise-6 @promise-7 @promise-5
  Scenario: Orders under kills, cuts, bad links and repeats
    Given a lakes deployment with bad links, of 5 desk and 1 archive servers
    When 2000 orders are sent and repeated while processes are killed and cut
    Then no key has run twice
    And no key that was only refused as not run has run
    And every key that was answered has run, and its receipt is repeated
    And the share of orders answered unknown is printed

  @promise-9
  Scenario: Rolling graceful restart of all processes under load
    Given a lakes deployment under steady calls, of 4 desk and 2 archive servers
    When every process of the system is gracefully restarted, one after another
    Then no request was cut
