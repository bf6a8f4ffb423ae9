Feature: Transcripts of operators' sessions and node logs match their golden files

  Background:
    Given logged nodes a and b in zones 1 and 2
    And an upstream of version v1 beside each

  Scenario: Operators configure a service, look at it and meet refusals
    When an operators' session runs as golden file operators.txt
    Then the transcript is the golden file

  Scenario: A node's log of a start, a change and a graceful stop
    Given the log of node b contains "announced the upstream"
    And the service and its route are active
    When node b is sent SIGTERM
    Then node b exits with 0
    And the log of node b is the golden file node_log.txt
    And no token and no key occurs in any log
