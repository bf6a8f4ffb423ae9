Feature: Two faults at once, and peers that accept and fall silent

  Background:
    Given nodes a, b, c and d in zones 1, 1, 2 and 2

  Scenario: The platform is down and a node is killed
    Given an upstream of version v1 beside each
    And the service and its route are in force
    When callers post to nodes a and b without a pause
    And the platform goes down
    And node c is killed
    Then calls are answered with 200 again
    And every answer says truly whether the call ran
    And nothing ran twice

  Scenario: All nodes of a zone are killed
    Given an upstream of version v1 beside each
    And the service and its route are in force
    When callers post to nodes a and b without a pause
    And nodes c and d are killed together
    Then calls are answered with 200 again
    And every answer says truly whether the call ran
    And nothing ran twice

  Scenario: An upstream accepts calls, then hangs or breaks off, before and after it ran them
    Given an upstream of version v1 beside each
    And the service and its route are in force
    And the upstream beside node b hangs or breaks off at 0.3 of its calls
    When callers post to nodes a and b without a pause
    Then some calls are answered with 504
    And every answer says truly whether the call ran
    And nothing ran twice

  Scenario: Open connections fall silent while new ones work
    Given an upstream of version v1 beside each, behind a path that can fall silent
    And the service and its route are in force
    When callers post to nodes a and b without a pause
    And the open connections to the upstream beside node b fall silent
    Then calls are answered with 200 again
    And calls reach the upstream beside node b again
    And every answer says truly whether the call ran
    And nothing ran twice
