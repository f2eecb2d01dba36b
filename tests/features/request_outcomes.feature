@issue-5
Feature: Responses are complete and reported outcomes are correct

  @promise-5
  Scenario: Responses out of order during cancellations
    Given a request handler in front of a warm backend server with 20 ms median service time
    When 300 callers send requests and pulls with distinct paths and every seventh cancels early
    Then every response matches the request of its caller
    And every pull is complete
    And no slot is held afterwards

  @promise-5
  Scenario: A backend server is killed during a response
    Given a request handler in front of a warm backend server with 20 ms median service time
    When the backend server is killed while a slow caller reads a pull of 20000000 bytes
    Then the caller's stream is reset instead of ended

  @promise-6
  Scenario: Orders across freezes and deadlines
    Given a request handler in front of a warm backend server with 20 ms median service time
    When 400 orders with a deadline of 0.4 s are sent while the backend server is frozen repeatedly
    Then no order ran twice
    And no order that was refused as not run has run
    And every answered order has run
    And every order received a complete response at most 50 ms after its deadline

  @promise-6
  Scenario: Orders while the backend server is down
    Given a request handler in front of a warm backend server with 20 ms median service time
    When the backend server is killed, 20 orders are sent and it is started again
    Then all 20 orders were refused as not run
    And none of these orders has run

  @promise-9
  Scenario: Draining completes the requests in progress
    Given a request handler in front of a warm backend server with 100 ms median service time
    When the handler drains with 6 requests in progress
    Then all 6 requests are answered before the drain ends
