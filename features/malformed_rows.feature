Feature: A malformed row or an unexpected error affects nothing else

  Scenario Outline: A service runs on with a malformed row of <kind>
    Given 2 entries and 4 workers of one service and 1 spare hosts
    When a malformed row "<key>" is stored
    And the holder is killed
    And a job of steps "2, 2 after 0" is submitted after 1 s
    Then within 12 s it is shown as succeeded at every entry
    And no entry has ended

    Examples:
      | kind                 | key                         |
      | the inbox            | inbox/a/0000000000000063    |
      | jobs                 | jobs/a/0000000000000063     |
      | progress             | progress/a/0000000000000063 |
      | incarnations         | used/a/lives                |
      | leases               | leases/b                    |
      | entries              | entries//e9                 |
      | waves                | waves/*fleet/9              |
      | orders about hosts   | ordered/*fleet/hosts        |

  Scenario: A job whose progress can't be read does not run again
    Given 2 entries and 4 workers of one service
    When a job of steps "2" is submitted at entry 0
    Then within 3 s it is shown as succeeded at every entry
    When the row of its progress becomes malformed
    And the holder is killed
    And after 4 s it is submitted again
    Then for 6 s no task of it starts again
    And it is shown as unreadable

  Scenario: Tasks of an earlier holder don't run twice though the row of its workers is malformed
    Given 2 entries and 4 workers of one service
    And its tasks take 4 s
    When a job of steps "4" is submitted at entry 0
    And after 1 s the holder is killed and a malformed row "used/a/lives" is stored
    Then within 14 s it is shown as succeeded at every entry
    And no task ran twice at the same time or after its end was acknowledged

  Scenario Outline: An unexpected error of the <service> does not end the entry
    Given 1 entries and 4 workers of one service
    When the <service> fails once with an unexpected error
    And a job of steps "1" is submitted after 1 s
    Then within 5 s it is shown as succeeded at every entry
    And no entry has ended

    Examples:
      | service            |
      | watch of the fleet |
      | watch of the inbox |
      | report of demand   |
      | heartbeats         |
      | watch of leases    |

  Scenario Outline: A job whose <what> raise an error ends every holder of its service
    Given 2 entries and 4 workers of one service
    When the <what> of one job raise an unexpected error
    And that job is submitted beside 3 others
    Then within 8 s the other jobs are shown as succeeded and that job as failed
    And the service is still held in epoch 1

    Examples:
      | what            |
      | reported ends   |
      | reported runs   |
      | starts          |
      | due occurrences |

  Scenario: A stored job that can't be opened ends every holder of its service
    Given 2 entries and 4 workers of one service
    When a job is stored whose progress lacks a step
    And the holder is killed
    And a job of steps "2, 2 after 0" is submitted after 1 s
    Then within 12 s it is shown as succeeded at every entry
    And the service is still held in epoch 2

  Scenario: A worker's report that can't be applied ends the holder of its service
    Given 2 entries and 4 workers of one service
    When the next 3 reports of workers raise an unexpected error
    And a job of steps "6, 2 after 0" is submitted after 1 s
    Then within 12 s it is shown as succeeded at every entry
    And the service is still held in epoch 1
