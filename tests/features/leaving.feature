Feature: A draining upstream gets no new requests and completes those in progress

  Background:
    Given the data centres of Gebeya with 3 entry instances
    And returns-core with 7 targets

  Scenario: New connections avoid a draining target within seconds
    When target returns-core-1 starts to drain
    And 4 seconds pass
    And 40 new connections to returns-core are answered
    Then target returns-core-1 has run no further request

  Scenario: An entry instance without updates still sends first packets to a draining target
    Given entry instance e1 receives no membership updates
    And only entry instance e1 receives packets
    When target returns-core-1 starts to drain
    And 4 seconds pass
    And 40 new connections to returns-core are answered
    Then target returns-core-1 has run no further request
    And first packets were passed on by returns-core-1

  Scenario: A request of a caller that ignores GOAWAY is rejected as not run
    Given a connection to target returns-core-1
    When target returns-core-1 starts to drain
    And 4 seconds pass
    And the connection sends a request
    Then the request is rejected as not run
    And target returns-core-1 has run no further request

  Scenario: A request in progress is completed
    Given a connection to target returns-core-1
    And a request of 60 seconds is running on the connection
    When target returns-core-1 starts to drain
    And 90 seconds pass
    Then the request gets its complete answer
    And the drain has cancelled 0 requests

  Scenario: The drain limit expires
    Given a connection to target returns-core-1
    And a request of 900 seconds is running on the connection
    When target returns-core-1 starts to drain with a limit of 30 seconds
    And 40 seconds pass
    Then the drain has cancelled 1 request
