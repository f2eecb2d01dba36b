@issue-5
Feature: Requests through whole deployments

  @promise-8
  Scenario: A backend server says that it is leaving
    Given a deployment under requests with 3 storefront servers of 20 ms
    And 2 feeds and 6 workers under requests
    When the first storefront server says that it leaves
    Then from 3 s on it gets no new work
    And no flow under requests is broken

  @promise-3
  Scenario: A cold backend server joins under load
    Given a deployment under requests with 2 storefront servers of 50 ms
    And 0 feeds and 8 workers under requests
    When a cold storefront server joins
    And 4 waves of 20 workers come
    And up to 8 more come until the server that joined has served 50 requests
    Then no server under requests has collapsed
    And the server that joined has served at least 50 requests
    And no flow under requests is broken
