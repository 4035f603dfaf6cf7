Feature: An entry that is behind says nothing that a newer configuration makes untrue

  Background:
    Given 3 entries and 4 workers of one service

  Scenario: A path that may have been added is not called unknown
    When entry 0 hears nothing of the operators for 2.5 s
    Then a request for an unknown path is answered 503 "configuration-stale" at entry 0
    And a request for an unknown path is answered 404 "unknown-queue" at entry 1
    When entry 0 hears of the operators again
    Then a request for an unknown path is answered 404 "unknown-queue" at entry 0

  Scenario: A holder that runs a job of a newer version does not call that version's paths unknown
    When the holder hears nothing of the operators and queue "new" is added
    And a job of queue "new" is submitted at an entry that is not the holder
    Then a request for an unknown path is answered 503 "configuration-stale" at the holder

  Scenario Outline: A dropped queue is not served through an entry that is behind
    When an entry that is not the holder hears nothing of the operators and queue "q" is dropped
    And a job is <call> in queue "q" at that entry
    Then it is answered 503 "configuration-stale"

    Examples:
      | call      |
      | submitted |
      | shown     |
      | cancelled |
      | counted   |

  Scenario: A job that may be stored is not called not run where its queue was dropped since
    When a job's answer is lost at an entry that is not the holder, whose queue is then dropped
    And the same job is submitted at that entry
    Then it is answered 504 "job-unsettled"
