Feature: A move ends once, completed in time or rolled back, and reports its cause

  Background:
    Given nodes a, b, c and d in zones 1, 2, 1 and 2
    And an upstream of version v1 beside nodes a and b
    And an upstream of version v2 beside nodes c and d
    And the service and its route are active
    And callers call nodes a and b continuously

  Scenario: A good version completes by its deadline
    When a move to v2 within 40 s begins
    Then the move ends as completed by its deadline
    And the audit trail, the status and the metrics report the same single end

  Scenario: The controller's node is killed in the midst of a move
    When a move to v2 within 50 s begins
    And the node that holds the move's lease is killed
    Then the move ends by its deadline
    And the audit trail, the status and the metrics report the same single end

  Scenario: A bad version is taken back
    Given version v2 fails 0.5 of its calls
    When a move to v2 within 30 s begins
    Then the move ends as taken back by its deadline
    And the audit trail, the status and the metrics report the same single end
    And calls no longer reach version v2

  Scenario: The platform is down when a version turns bad
    When a move to v2 within 60 s begins
    And the platform goes down
    And version v2 fails 0.5 of its calls
    Then calls no longer reach version v2
    When the platform comes back
    Then the move ends as taken back by its deadline
    And the audit trail, the status and the metrics report the same single end
    And no node ever showed an older version

  Scenario: Operators cancel a move while it is being taken back
    When a move to v2 within 30 s begins
    And version v2 fails 0.5 of its calls
    And 4 operators cancel the move through all nodes, one shortly after the other
    Then the move ends as taken back by its deadline
    And the audit trail, the status and the metrics report the same single end
    And every operator got the correct result of the cancellation

  Scenario: A deadline that cannot be kept
    When a move to v2 within 4 s is requested
    Then it is refused as CW106 with a reason
    And the audit trail contains no move
