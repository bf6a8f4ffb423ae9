Feature: An accepted configuration becomes active on all nodes and never reverts

  Background:
    Given nodes a, b and c in zones 1, 2 and 3
    And an upstream of version v1 beside each
    And the service and its route are active

  Scenario: The whole path
    When a caller calls every node
    Then every call gets a response from version v1

  Scenario: The platform is down
    When the platform goes down
    And a caller calls every node
    Then every call gets a response from version v1
    And a change through node a fails without effect
    When the platform comes back
    Then a change through node a is active on every node

  Scenario: A node comes back while the platform is down
    When the platform goes down
    And node b is killed and restarted
    Then node b serves the version it had
    And no node ever showed an older version

  Scenario: All nodes come back at once
    When all nodes are killed and restarted
    Then every node serves the version it had
    And no node ever showed an older version

  Scenario: The platform's answers are lost after the writes took effect
    When the platform loses its next 2 responses to writes
    Then a change through node a is active on every node
    And the change is in the audit trail once

  Scenario: Operators race
    When 6 operators change the configuration through all nodes at once
    Then every accepted change is in the audit trail once
    And the newest version is active on every node

  Scenario: A paused node wakes up
    When node c is paused
    And a change is made through node a
    And node c is resumed
    Then the newest version is active on every node
    And no node ever showed an older version

  Scenario: A stranger gets nothing
    When a client with a wrong token makes a change through node a
    Then it is refused as unauthenticated
