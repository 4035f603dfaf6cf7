Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario Outline: A publish is in force at every entry within 6 seconds
    Given 7 entries with version 1 in force
    And the platform is "<platform>" and pushes are "<pushes>"
    When 5 sets are published at random entries
    Then each was in force everywhere within 6 seconds
    And no entry used an older or an incomplete set

    Examples:
      | platform     | pushes |
      | healthy      | sent   |
      | healthy      | cut    |
      | slow         | sent   |
      | slow         | cut    |
      | flapping     | sent   |
      | objects down | sent   |

  Scenario Outline: Who may go on when nothing can be confirmed by the table
    Given 7 entries with version 1 in force
    When the table is unreachable for "<without>" and the groups in contact are "<groups>"
    And 7 seconds pass
    Then only "<serve>" serve
    When all faults are repaired and 3 seconds pass
    Then all entries serve

    Examples:
      | without              | groups                     | serve                |
      | e0 e1 e2 e3 e4 e5 e6 | e0 e1 e2 e3 e4 e5 e6       | e0 e1 e2 e3 e4 e5 e6 |
      | e0 e1 e2 e3 e4 e5 e6 | e0 e1 e2 e3; e4 e5 e6      | e0 e1 e2 e3          |
      | e0                   | e0; e1 e2 e3 e4 e5 e6      | e1 e2 e3 e4 e5 e6    |
      | e0 e1                | e0 e1; e2 e3 e4 e5 e6      | e2 e3 e4 e5 e6       |
      | e0 e1                | e0 e1 e2 e3 e4 e5 e6       | e0 e1 e2 e3 e4 e5 e6 |
      | none                 | e0; e1; e2; e3; e4; e5; e6 | e0 e1 e2 e3 e4 e5 e6 |

  Scenario: An entry cut off alone serves no superseded set for longer than 6 seconds
    Given 7 entries with version 1 in force
    When "e3" is isolated and a set is published at "e0"
    Then "e3" stops serving within 6 seconds of the acceptance
    And no entry used an older or an incomplete set

  Scenario: An hour without the table stops no entry
    Given 7 entries with version 1 in force
    When the table is unreachable for an hour
    Then all entries served all the time

  Scenario: A replaced entry starts from its peers while the objects are away
    Given 3 entries with version 1 in force
    And the platform is "objects down" and pushes are "sent"
    When "e2" is killed and replaced
    And 3 seconds pass
    Then all entries serve
    And all entries have version 1

  Scenario: A peer's message from before a pause confirms nothing after it
    Given the confirmation of a peer that echoes a time of 1 second with a table age of 0.5 seconds
    Then the version in force is confirmed until 5.5 seconds and no longer

  Scenario: A request that comes before the timers of a thawed entry is judged itself
    Given 3 minions of "orders" behind an entry
    And its configuration is found stale only by the check of a request
    When a caller sends the bytes GET /orders/ HTTP/1.1\r\nHost: a\r\n\r\n
    Then the answer has status 503 and outcome "not-run"
    And no minion saw a request
