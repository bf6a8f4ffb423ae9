Feature: Two faults at once, and connections that are accepted and then go silent

  Background:
    Given nodes a, b, c and d in zones 1, 1, 2 and 2

  Scenario: The platform is down and a node is killed
    Given an upstream of version v1 beside each
    And the service and its route are active
    When callers post to nodes a and b continuously
    And the platform goes down
    And node c is killed
    Then calls get status 200 again
    And every response states correctly whether the call ran
    And nothing ran twice

  Scenario: All nodes of a zone are killed
    Given an upstream of version v1 beside each
    And the service and its route are active
    When callers post to nodes a and b continuously
    And nodes c and d are killed together
    Then calls get status 200 again
    And every response states correctly whether the call ran
    And nothing ran twice

  Scenario: An upstream accepts calls, then hangs or breaks off, before and after it ran them
    Given an upstream of version v1 beside each
    And the service and its route are active
    And the upstream beside node b hangs or closes the connection on 0.3 of its calls
    When callers post to nodes a and b continuously
    Then some calls get status 504
    And every response states correctly whether the call ran
    And nothing ran twice

  Scenario: Open connections fall silent while new ones work
    Given an upstream of version v1 beside each, behind a relay that can be silenced
    And the service and its route are active
    When callers post to nodes a and b continuously
    And the open connections to the upstream beside node b are silenced
    Then calls get status 200 again
    And calls reach the upstream beside node b again
    And every response states correctly whether the call ran
    And nothing ran twice

  Scenario: A request ends each upstream that runs it
    Given an upstream of version v1 beside each
    And the service and its route are active
    When callers call nodes a and b continuously
    And a request that ends its upstream is sent to nodes a and b 10 times
    Then at most 6 upstreams have ended
    And the request is refused as not run at nodes a, b, c and d
    And calls get status 200 again
