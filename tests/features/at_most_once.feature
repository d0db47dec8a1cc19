Feature: A non-idempotent line runs at most once

  Background:
    Given the data centres of Himal with 3 entry instances
    And khata-core with 7 targets
    And a connection to target khata-core-1
    And an idempotency key from the connection

  Scenario: The line is repeated at the same target
    When the line is posted on the connection
    And the line is posted on the connection
    Then both answers are the same
    And the line ran 1 time

  Scenario: The line is repeated through another target
    Given another connection to target khata-core-2
    When the line is posted on the connection
    And the line is posted on the other connection
    Then both answers are the same
    And the line ran 1 time

  Scenario: The line is posted through two targets at once
    Given another connection to target khata-core-2
    When the line is posted on both connections at once
    Then both answers are the same
    And the line ran 1 time

  Scenario: The target is killed after the line ran and before its answer arrived
    Given another connection to target khata-core-2
    When the line is posted on the connection and the target is killed while it runs
    And the line is posted on the other connection
    Then the last answer says that the outcome is unknown
    And the line ran 1 time

  Scenario: A new target reuses the address of the killed one
    Given another connection to target khata-core-2
    When the line is posted on the connection and the target is killed while it runs
    And target khata-core-9 starts at the address of khata-core-1
    And the line is posted on the other connection
    Then the last answer says that the outcome is unknown
    And the line ran 1 time

  Scenario: The target is partitioned from its peers after the line ran
    Given another connection to target khata-core-2
    When the line is posted on the connection
    And target khata-core-1 is partitioned from its peers
    And the line is posted on the other connection
    Then the last answer says that the outcome is unknown
    And the line ran 1 time

  Scenario: The key has expired
    When the line is posted on the connection
    And 2 hours pass
    And the line is posted on a new connection to khata-core
    Then the last answer says that the outcome is unknown
    And the line ran 1 time

  Scenario: The target drains between the two attempts
    Given another connection to target khata-core-2
    When the line is posted on the connection
    And target khata-core-1 starts to drain
    And 5 seconds pass
    And the line is posted on the other connection
    Then both answers are the same
    And the line ran 1 time
