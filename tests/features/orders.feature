@orders
Feature: Orders run at most once, and orders refused as not run have not run
  Callers retry orders with the same idempotency key over new connections while
  processes are killed, links are cut, responses are lost, and datagrams are
  lost, delayed, duplicated and reordered.

  @promise-6 @promise-7 @promise-5
  Scenario: Orders with retries during kills, link cuts and packet loss
    Given a lakes deployment with lossy links, 5 desk and 1 archive servers
    When 2000 orders are sent and retried while processes are killed and links are cut
    Then no idempotency key has run twice
    And no idempotency key that was only refused as not run has run
    And every answered idempotency key has run, and retries return the same receipt
    And most orders are answered, and the outcomes are printed

  @promise-9
  Scenario: Rolling graceful restart of all processes under load
    Given a lakes deployment under constant load with 4 desk and 2 archive servers
    When every balancer and agent is restarted gracefully, one after another
    Then no request was interrupted
