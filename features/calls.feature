Feature: Every caller gets the complete response to its own request

  Background:
    Given nodes a, b and c in zones 1, 2 and 3
    And an upstream of version v1 beside each
    And the service and its route are active

  Scenario: A planned stop of a node cuts no request
    When callers call nodes a and b continuously
    And node c is sent SIGTERM
    Then node c exits with 0
    And every call got status 200

  Scenario: A planned stop of an upstream cuts no request
    When callers call nodes a and b continuously
    And the upstream beside node c is sent SIGTERM
    Then the upstream beside node c exits with 0
    And every call got status 200

  Scenario: A node is killed with calls in flight
    When callers post to nodes a and b continuously
    And node c is killed
    Then every response states correctly whether the call ran
    And nothing ran twice

  Scenario: An upstream is killed with calls in flight
    When callers post to nodes a and b continuously
    And the upstream beside node c is killed
    Then every response states correctly whether the call ran
    And calls get status 200 again
    And nothing ran twice

  Scenario: A leaving upstream receives no new work
    When the upstream beside node c stops announcing itself
    Then calls no longer reach the upstream beside node c
