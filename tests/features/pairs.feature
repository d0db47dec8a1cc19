Feature: Established flows survive pairs of faults

  Scenario Outline: <first>, and <second>
    Given the data centres of Gebeya with 4 entry instances
    And returns-core with 7 targets
    And 3 open feeds of returns-core
    When <first>
    And 2 seconds pass
    And <second>
    And 10 seconds pass
    And the faults are cleared
    And 600 seconds pass
    Then no feed has a gap or a duplicate
    And 10 new connections to returns-core are answered

    Examples:
      | first                                                | second                                               |
      | entry instance e1 is killed                          | entry instance e2 freezes                            |
      | entry instance e1 freezes                            | the target of feed 1 freezes                         |
      | entry instance e1 receives no membership updates     | entry instance e2 is killed                          |
      | links between zones lose 20 % with a jitter of 30 ms | entry instance e1 is killed                          |
      | links between zones lose 20 % with a jitter of 30 ms | the target of feed 1 freezes                         |
      | the zone of feed 1 is partitioned from the others    | entry instance e1 is killed                          |
      | the target of feed 1 starts to drain                 | entry instance e1 is killed                          |
      | the target of feed 1 starts to drain                 | the zone of feed 1 is partitioned from the others    |
      | all entry instances are replaced at once             | links between zones lose 20 % with a jitter of 30 ms |
