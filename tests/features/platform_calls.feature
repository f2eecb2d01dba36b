@promise-10 @platform-calls
Feature: Calls to the platform do not grow with the fleet
  The platform takes about 2,000 reads and several hundred writes a second for
  ten regions. A region's share that does not depend on its services may be 3
  reads and 1 write a second; its 1,600 services add one read a minute each. In
  all that is 300 reads and 10 writes a second.

  Scenario Outline: At rest
    Given a quiet deployment of <balancers> balancers and <servers> servers
    When the platform's calls are counted for 20 s
    Then a region makes at most 3 reads and 1 write a second

    Examples:
      | balancers | servers |
      | 2         | 2       |
      | 6         | 10      |
