Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given nodes a, b and c in zones 1, 2 and 3
    And an upstream of version v1 beside each
    And the service and its route are in force

  Scenario: The whole path
    When a caller calls every node
    Then every call is answered by version v1

  Scenario: The platform is down
    When the platform goes down
    And a caller calls every node
    Then every call is answered by version v1
    And a change through node a fails without effect
    When the platform comes back
    Then a change through node a is in force at every node

  Scenario: A node comes back while the platform is down
    When the platform goes down
    And node b is killed and comes back
    Then node b serves the version it had
    And no node ever showed an older version

  Scenario: All nodes come back at once
    When all nodes are killed and come back
    Then every node serves the version it had
    And no node ever showed an older version

  Scenario: The platform's answers are lost after the writes took effect
    When the platform loses its next 2 answers to writes
    Then a change through node a is in force at every node
    And the change stands in the audit trail once

  Scenario: Operators race
    When 6 operators change the configuration through all nodes at once
    Then every accepted change stands in the audit trail once
    And the newest version is in force at every node

  Scenario: A paused node wakes up
    When node c is paused
    And a change is made through node a
    And node c wakes up
    Then the newest version is in force at every node
    And no node ever showed an older version

  Scenario: A stranger gets nothing
    When a stranger with another token makes a change through node a
    Then it is refused as unauthenticated
