Feature: An established flow survives planned changes and the loss of entry instances

  Background:
    Given the data centres of Himal with 3 entry instances
    And khata-core with 7 targets
    And 5 open feeds of khata-core

  Scenario: Entry instances are replaced one by one
    When each entry instance is replaced in turn
    And 1 hour passes
    Then no feed has a gap or a duplicate

  Scenario: All entry instances are replaced at once
    When all entry instances are replaced at once
    And 1 hour passes
    Then no feed has a gap or a duplicate

  Scenario: All entry instances are replaced by ones that know no members
    When all entry instances are replaced by ones that receive no membership updates
    And 1 hour passes
    Then no feed has a gap or a duplicate

  Scenario: An entry instance is killed
    When entry instance e1 is killed
    And 1 hour passes
    Then no feed has a gap or a duplicate

  Scenario: An entry instance is killed on lossy links
    Given links between zones lose 5 % with a jitter of 8 ms
    When entry instance e1 is killed
    And 1 hour passes
    Then no feed has a gap or a duplicate

  Scenario: An entry instance is killed while frozen, and another one freezes
    When entry instance e1 freezes
    And 20 seconds pass
    And entry instance e1 is killed
    And entry instance e2 freezes
    And 20 seconds pass
    And entry instance e2 resumes
    And 1 hour passes
    Then no feed has a gap or a duplicate

  Scenario: A target freezes for some seconds
    When the target of feed 1 freezes
    And 15 seconds pass
    And the target of feed 1 resumes
    And 1 hour passes
    Then no feed has a gap or a duplicate

  Scenario: Targets are added while one entry instance keeps the old table
    When entry instance e1 receives no membership updates
    And 4 targets are added to khata-core
    And 1 hour passes
    Then no feed has a gap or a duplicate
    And 20 new connections to khata-core are answered

  Scenario: The target of a feed drains while the feed stays open for hours
    When the target of feed 1 starts to drain
    And 6 hours pass
    Then no feed has a gap or a duplicate

  Scenario: The manifest adds a service
    When bill-intake with 3 targets is added
    And 1 hour passes
    Then no feed has a gap or a duplicate
