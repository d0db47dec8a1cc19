Feature: A leaving upstream gets no new work and cuts none in progress

  Background:
    Given the data centres of Gebeya with 3 entry instances
    And returns-core with 7 targets

  Scenario: New connections avoid a draining target at once
    When target returns-core-1 starts to drain
    And 4 seconds pass
    And 40 new connections to returns-core are answered
    Then target returns-core-1 has run nothing new

  Scenario: An entry instance that is cut off still sends first packets
    Given entry instance e1 is cut off from all news
    And only entry instance e1 gets packets
    When target returns-core-1 starts to drain
    And 4 seconds pass
    And 40 new connections to returns-core are answered
    Then target returns-core-1 has run nothing new
    And first packets were passed on by returns-core-1

  Scenario: A caller that ignores GOAWAY is refused as not run
    Given a connection to target returns-core-1
    When target returns-core-1 starts to drain
    And 4 seconds pass
    And the connection sends a request
    Then the request is rejected as not run
    And target returns-core-1 has run nothing new

  Scenario: A request in progress is finished
    Given a connection to target returns-core-1
    And a request of 60 seconds is running on the connection
    When target returns-core-1 starts to drain
    And 90 seconds pass
    Then the request has its whole answer
    And the drain has cut 0 requests

  Scenario: The limit of the drain is over
    Given a connection to target returns-core-1
    And a request of 900 seconds is running on the connection
    When target returns-core-1 starts to drain with a limit of 30 seconds
    And 40 seconds pass
    Then the drain has cut 1 request
