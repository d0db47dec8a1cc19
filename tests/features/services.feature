Feature: A packet for one service never reaches another service

  Background:
    Given the data centres of Himal with 3 entry instances
    And khata-core with 7 targets
    And bill-intake with 3 targets

  Scenario: An address is reused by a target of another service
    Given entry instance e1 receives no membership updates
    And a connection to target khata-core-1
    When target khata-core-1 is killed
    And target bill-intake-9 starts at the address of khata-core-1
    And the connection sends a request that gets no answer
    And 10 new connections to khata-core are attempted
    Then target bill-intake-9 has run no further request
    And target bill-intake-9 holds no connection

  Scenario: An address is reused by a target of the same service
    Given a connection to target khata-core-1
    When target khata-core-1 is killed
    And target khata-core-9 starts at the address of khata-core-1
    And the connection sends a request that gets no answer
    Then target khata-core-9 has run no further request

  Scenario: Packets of a connection are sent to the address of another service
    Given a connection to target khata-core-1
    When the connection's packets are sent to the address of bill-intake
    Then all of them are dropped as packets of another service

  Scenario: Lost and reordered packets
    Given links between zones lose 10 % with a jitter of 20 ms
    When 30 connections to khata-core and bill-intake send 5 requests each
    Then each request gets its own complete answer
