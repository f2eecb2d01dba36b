@issue-5
Feature: Requests through a complete deployment

  @promise-8
  Scenario: A backend server reports that it is leaving
    Given a deployment of 3 storefront servers with 20 ms median service time
    And 2 feeds and 6 workers that send requests to storefront
    When the first storefront server reports that it is leaving
    Then the leaving server receives no new requests from 3 s on
    And no flow of the callers is broken

  @promise-3
  Scenario: A cold backend server joins under load
    Given a deployment of 2 storefront servers with 50 ms median service time
    And 0 feeds and 8 workers that send requests to storefront
    When a cold storefront server joins
    And 4 waves of 20 workers start
    And up to 8 more waves start until the joined server has served 50 requests
    Then no storefront server has collapsed
    And the joined server has served at least 50 requests
    And no flow of the callers is broken
