Feature: Reports of tasks that are over already change nothing
  Copies and members of a gang end each for itself, and reports of ends may come late.

  Scenario Outline: A second end of a task that is over ends every holder of its service
    Given a scheduled job with a <shape> step runs at 2 workers
    When the workers report the ends "<ends>" of its first occurrence
    Then the occurrence is over, and the job is shown as running
    And a takeover that reads the same ends again comes to the same state

    Examples: shapes
      | shape       | ends                |
      | speculative | done, done          |
      | speculative | done, failed        |
      | speculative | failed, done        |
      | speculative | done, lapsed        |
      | gang        | done, done          |
      | gang        | done, failed        |
      | gang        | done, broken        |

  Scenario: The second copy of a done task fails its job
    Given a job of 2 speculative tasks with one attempt, of which one runs twice
    When the workers report the ends "done, failed" of that task
    Then the job is shown as running

  Scenario Outline: A late end of a cancelled job ends the holder of its service
    Given a scheduled job with a <shape> step runs at 2 workers
    When the job is cancelled
    And the workers report the ends "<ends>" of its first occurrence
    Then the job is shown as cancelled

    Examples: shapes
      | shape       | ends          |
      | speculative | done, failed  |
      | gang        | done, stopped |

  Scenario: A copy at a worker that was silent ends the holder as the worker answers again
    Given a scheduled job with a speculative step runs at 2 workers
    When the second worker falls silent and its run is kept as unresolved
    And the workers report the ends "done, done" of its first occurrence
    Then the occurrence is over, and the job is shown as running

  Scenario: A scheduled gang stops all jobs of its service
    Given 2 entries and 6 workers of one service
    When a gang of 2 tasks with 3 occurrences is submitted beside a plain job
    Then both jobs are shown as succeeded within 12 s
    And no holder has failed

  Scenario: A host is given away though a start of a done task may still arrive there
    Given a scheduled job with a speculative step runs at 2 workers
    When the start of the second copy got no answer and may arrive within 1.5 s
    And the first copy ends done and the second worker reports nothing
    Then the host of the second worker is not cleared for 1.5 s unless a stop of the copy is answered
