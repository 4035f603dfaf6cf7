Feature: A stored task starts once it is known that nobody runs it, and not before
  Whoever may have started a task is asked, or its lease is waited for; then the task is queued.

  Scenario Outline: A job that is accepted before its service has its first holder never starts
    Given 4 workers of one service and an entry that takes <load> s for each scan of the table
    When jobs are submitted each 0.1 s for <seconds> s from the start of the entry
    Then within 12 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | load | seconds |
      | 0.0  | 2       |
      | 0.05 | 2       |
      | 0.4  | 4       |

  Scenario: A job that is accepted as the first queue of its service is added never starts
    Given 3 entries and 4 workers of a service without a queue
    When its first queue is added and jobs are submitted each 0.05 s for 2 s
    Then within 12 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

  Scenario Outline: Tasks of the first holder run twice if it is killed at once after their start
    Given 4 workers of one service and an entry that takes 0.0 s for each scan of the table
    And the list of workers takes <list> s to arrive at an entry
    And its tasks take 3 s
    When a job is submitted and the entry is killed <delay> s after the first start and started again
    Then within 20 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | delay | list |
      | 0.0   | 0.0  |
      | 0.01  | 0.0  |
      | 0.05  | 0.0  |
      | 0.0   | 1.5  |
      | 0.05  | 1.5  |

  Scenario: Tasks run twice at a worker that no stored row names
    Given 2 entries and 2 workers of one service
    And its tasks take 4 s
    When a worker appears and gets a start, is cut off from the list, and the holder is killed
    Then within 20 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

  Scenario Outline: An occurrence that an earlier holder opened by a faster clock starts again
    Given a scheduled job of which a worker <has> a task of an occurrence that is not due yet
    When a holder with a slower clock takes over and the worker reports
    Then the task of that occurrence is <state>
    And no other task of it is recovering

    Examples:
      | has      | state   |
      | runs     | running |
      | has done | done    |

  Scenario: An occurrence that becomes due during a takeover starts though it may run already
    Given a scheduled job of an earlier holder whose second occurrence is due in 1 s
    When 1 s passes and no worker has reported
    Then the tasks of the second occurrence are recovering
    When all workers report that nothing runs
    Then the tasks of both occurrences are ready to start

  Scenario Outline: A task recovers although nobody is unaccounted for
    Given a service in epoch <epoch> whose earlier holders <used>
    When a job that was stored before is loaded <when>
    Then its task is <phase>

    Examples:
      | epoch | used              | when                 | phase   |
      | 1     | never were        | at once              | waiting |
      | 1     | used workers      | at once              | adrift  |
      | 2     | used workers      | at once              | adrift  |
      | 2     | used no worker    | after all reported   | waiting |
      | 2     | used workers      | after all reported   | waiting |
      | 2     | are unknown       | after all reported   | adrift  |
      | 2     | are unknown       | after all leases     | waiting |
