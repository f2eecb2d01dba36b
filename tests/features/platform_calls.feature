@promise-10 @platform-calls
Feature: Calls to the platform do not grow with the number of instances
  The platform handles about 2,000 reads and several hundred writes a second for
  ten regions. Apart from its services, a region may make 3 reads and 1 write a
  second; each of its 1,600 services adds one read a minute. The total of all
  regions is 300 reads and 10 writes a second.

  Scenario Outline: Idle deployment
    Given an idle deployment of <balancers> balancers and <servers> backend servers
    When calls to the platform are counted for 20 s
    Then the region makes at most 3 reads and 1 write a second

    Examples:
      | balancers | servers |
      | 2         | 2       |
      | 6         | 10      |
