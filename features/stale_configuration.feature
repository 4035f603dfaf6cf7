Feature: An entry with a stale configuration gives no answers that a newer version contradicts

  Background:
    Given 3 entries and 4 workers of one service

  Scenario: A path that may have been added is not reported as unknown
    When entry 0 is disconnected from the operators for 2.5 s
    Then a request for an unknown path is answered 503 "configuration-stale" at entry 0
    And a request for an unknown path is answered 404 "unknown-queue" at entry 1
    When entry 0 is connected to the operators again
    Then a request for an unknown path is answered 404 "unknown-queue" at entry 0

  Scenario: A holder that runs a job of a newer version does not report that version's paths as unknown
    When the holder is disconnected from the operators and queue "new" is added
    And a job of queue "new" is submitted at an entry that is not the holder
    Then a request for an unknown path is answered 503 "configuration-stale" at the holder

  Scenario Outline: A removed queue is not served by an entry with a stale configuration
    When an entry that is not the holder is disconnected from the operators and queue "q" is removed
    And a job is <call> in queue "q" at that entry
    Then it is answered 503 "configuration-stale"

    Examples:
      | call      |
      | submitted |
      | queried   |
      | cancelled |
      | counted   |

  Scenario: A job that may be stored is not reported as not run after its queue was removed
    When the answer to a submission at an entry that is not the holder is lost and its queue removed
    And the same job is submitted at that entry
    Then it is answered 504 "job-unsettled"
