@issue-5
Feature: Answers are whole and outcomes are true

  @promise-5
  Scenario: Answers out of order, crossing cancellations
    Given a warm backend server of 20 ms a request beside a request handler
    When 300 callers ask for their own answer or pull and every seventh leaves early
    Then every answer is the one that its caller asked for
    And every pull is whole
    And no slot is held any more

  @promise-5
  Scenario: A backend server that dies in the middle of an answer
    Given a warm backend server of 20 ms a request beside a request handler
    When it is killed while a slow caller takes a pull of 20000000 bytes
    Then the caller's stream is reset and not ended

  @promise-6
  Scenario: Orders across freezes and deadlines
    Given a warm backend server of 20 ms a request beside a request handler
    When 400 orders with a deadline of 0.4 s are sent while it freezes again and again
    Then no order ran twice
    And no order that was refused as not run has run
    And every order that was answered has run
    And every order got its final answer within 50 ms of its deadline

  @promise-6
  Scenario: Orders while nothing listens
    Given a warm backend server of 20 ms a request beside a request handler
    When it is killed, 20 orders are sent and another takes its place
    Then all 20 orders were refused as not run
    And none of them has run

  @promise-9
  Scenario: Draining cuts off nothing
    Given a warm backend server of 100 ms a request beside a request handler
    When the handler drains with 6 requests in progress
    Then all 6 requests are answered before the drain ends
