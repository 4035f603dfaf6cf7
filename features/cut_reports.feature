Feature: A worker's list of ends that is cut off proves nothing of what it leaves out
  A worker lists 500 ends at a time, and the next ones once these are acknowledged.

  Scenario Outline: Tasks whose ends are not on the first list run again after <fault>
    Given 2 entries and 3 workers of one service
    When a job of <count> small tasks runs on one worker and there is <fault> as they end
    Then within 30 s the job of small tasks is shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged
    And each of its tasks was started once

    Examples:
      | count | fault                                    |
      | 700   | a kill of the holder                     |
      | 1700  | a kill of the holder                     |
      | 700   | a cut of 2 s between holder and workers  |
      | 700   | a kill of the holder and a slow table    |
      | 700   | a silent table for 2 s                   |

  Scenario Outline: A worker with unread ends counts as <what>
    Given a worker whose report left out the ends of 2 of its 3 tasks
    Then the worker does not count as <what>
    When the rest of its ends is reported
    Then the worker counts as <what>

    Examples:
      | what                     |
      | idle                     |
      | cleared for a move       |
      | open for starts          |
      | forgotten when unlisted  |

  Scenario: Stops of an unknown run end as a report leaves out its end
    Given a worker whose report left out the ends of 2 of its 3 tasks
    Then its unknown run is still known
    When the rest of its ends is reported
    Then its unknown run is known no more

  Scenario: A crash counts for tasks that had ended before it
    Given a worker whose report left out the ends of 2 of its 3 tasks
    When the worker crashes
    Then the crash counts for the task that was still running, and for no other

  Scenario Outline: A takeover ends before a worker has listed all its ends
    Given a takeover of a service with 2 workers, of which one lists its ends in 2 parts
    When <time> s have passed since the takeover and the second part is not listed yet
    Then its tasks are recovering
    When the second part is listed
    Then no task is recovering, and none of the ended tasks starts again

    Examples:
      | time |
      | 1    |
      | 6    |
      | 30   |

  Scenario: A worker that falls silent with unread ends holds a takeover up for ever
    Given a takeover of a service with 2 workers, of which one lists its ends in 2 parts
    When that worker falls silent until its lease has expired
    Then no task is recovering
