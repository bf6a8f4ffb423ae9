Feature: Every caller gets the whole answer to its own request

  Background:
    Given nodes a, b and c in zones 1, 2 and 3
    And an upstream of version v1 beside each
    And the service and its route are in force

  Scenario: A planned stop of a node cuts no request
    When callers call nodes a and b without a pause
    And node c is told to stop
    Then node c exits with 0
    And every call was answered with 200

  Scenario: A planned stop of an upstream cuts no request
    When callers call nodes a and b without a pause
    And the upstream beside node c is told to stop
    Then the upstream beside node c exits with 0
    And every call was answered with 200

  Scenario: A node is killed with calls in flight
    When callers post to nodes a and b without a pause
    And node c is killed
    Then every answer says truly whether the call ran
    And nothing ran twice

  Scenario: An upstream is killed with calls in flight
    When callers post to nodes a and b without a pause
    And the upstream beside node c is killed
    Then every answer says truly whether the call ran
    And calls are answered with 200 again
    And nothing ran twice

  Scenario: A leaving upstream receives no new work
    When the upstream beside node c stops to announce itself
    Then calls no longer reach the upstream beside node c
