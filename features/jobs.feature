Feature: Jobs of callers run to completion exactly once despite faults

  Scenario: A job's steps run in order and it is shown as succeeded
    Given 3 entries and 4 workers of one service
    When a job of steps "2, 3 after 0" is submitted at entry 0
    Then within 3 s it is shown as succeeded at every entry
    And every task ran once

  Scenario: A job that is submitted at several entries runs once
    Given 3 entries and 4 workers of one service
    When the same job is submitted at every entry twice
    Then within 3 s it is shown as succeeded at every entry
    And every task ran once

  Scenario: Many concurrent jobs stay within the limits of the table
    Given 3 entries and 8 workers of one service
    When 150 jobs of one task are submitted together
    Then within 20 s all are shown as succeeded
    And every task ran once

  Scenario: A job whose tasks always fail ends as failed after its attempts
    Given 2 entries and 4 workers of one service
    And its tasks fail
    When a job of steps "1" is submitted at entry 0
    Then within 6 s it is shown as failed at every entry
    And its task was started 3 times

  Scenario: The tasks of a cancelled job stop and do not start again
    Given 2 entries and 4 workers of one service
    And its tasks take 60 s
    When a job of steps "3" is submitted at entry 0
    And after 1 s it is cancelled at entry 1
    Then within 2 s nothing of it runs
    And within 1 s it is shown as cancelled at every entry

  Scenario Outline: The holder is <fault> while jobs run
    Given 3 entries and 6 workers of one service
    And its tasks take 1 s
    When 20 jobs of two steps come over 4 s and the holder is <fault> after 2 s
    Then within 30 s all accepted jobs are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | fault                       |
      | killed                      |
      | killed and started again    |
      | stopped gracefully          |
      | disconnected from the table |
      | losing answers              |
      | losing answers, done late   |

  Scenario: All entries are killed right after a job was accepted
    Given 3 entries and 4 workers of one service
    When a job of steps "2, 2 after 0" is submitted at entry 0
    And all entries are killed at once and started after 1 s
    Then within 12 s it is shown as succeeded at every entry

  Scenario: Entries that are all restarted acquire the services that they held at once
    Given 3 entries and 4 workers of one service
    When a job of steps "2, 2 after 0" is submitted at entry 0
    And all entries are killed at once and started after 1 s
    Then the service was acquired within 0.2 s of the start
    And within 3 s it is shown as succeeded at every entry

  Scenario: New work starts soon after a graceful stop of the holder, also where hosts moved away
    Given 3 entries and 4 workers of one service
    And a job ran and a host was moved away since
    When the holder is stopped gracefully
    And a job of steps "1" is submitted after 1 s
    Then within 2 s it is shown as succeeded at every entry

  Scenario: A takeover does not wait for moved hosts that the stored list still names
    Given 3 entries and 4 workers of one service
    And a job ran and a host was moved away since
    And the row of used incarnations still names the hosts that moved
    When the holder is killed
    And a job of steps "1" is submitted after 1 s
    Then within 5 s it is shown as succeeded at every entry

  Scenario: A takeover does not wait for workers that moved away and are still listed
    Given 3 entries and 6 workers of one service
    And workers that ended stay listed for 6 s
    And its tasks take 4 s
    When a job of steps "1, 1 after 0" is submitted at entry 0
    And the holder is killed as hosts move away
    Then within 9 s it is shown as succeeded at every entry
    And every task ran once

  Scenario: A lease is released although a transaction of its holder is in progress
    Given 3 entries and 4 workers of one service
    And its tasks take 3 s
    And answers of the table take 0.4 s
    When a job of steps "1, 1 after 0" is submitted and the holder is stopped at once
    Then another entry holds the service within 1.2 s
    And within 9 s it is shown as succeeded at every entry

  Scenario: A job that may be stored is not reported as not run when it is submitted again
    Given 1 entries and 2 workers of one service
    When a job is submitted while answers are lost and again while the table is unavailable
    Then both responses say that it may run

  Scenario Outline: A notice that arrives while a holder loads, after the <kind>, is processed
    Given 2 entries and 4 workers of one service
    When the holder is killed and a job is stored by another entry after the <kind> were loaded
    Then within 10 s it is shown as succeeded at every entry

    Examples:
      | kind     |
      | inbox    |
      | jobs     |
      | progress |

  Scenario: A holder that loads for longer than the lease duration keeps its lease
    Given 3 entries and 4 workers of one service
    And each scan of the table takes 1 s
    When the holder is killed
    And a job of steps "1" is submitted after 1 s
    Then within 12 s it is shown as succeeded at every entry
    And the service was taken over once

  Scenario: Entries with fast links hold the services while there are any
    Given 4 workers of one service and entries with links of 100, 5, 5 and 5 Mbit/s
    Then entry 0 holds the service
    When the holder is killed
    And a job of steps "1" is submitted after 1 s
    Then within 12 s it is shown as succeeded at every entry

  Scenario: A lease that its holder relinquishes goes to an entry with a fast link
    Given 4 workers of one service and entries with links of 100, 5, 5, 5, 5, 100 and 5 Mbit/s
    And no work arrives for 6 s
    When the holder is disconnected from the table
    Then another entry holds the service within 1.2 s
    And its link is fast

  Scenario: A holder that fails to load its rows releases its service
    Given 3 entries and 4 workers of one service
    When the holder is killed and the next one fails to read rows
    And a job of steps "1" is submitted after 1 s
    Then within 12 s it is shown as succeeded at every entry

  Scenario: A job that is cancelled while there is no holder starts no task
    Given 2 entries and 4 workers of one service
    When the holder is killed, and a job is stored and cancelled before the next one loads
    And 5 jobs are stored while it loads and each row takes 0.3 s to read
    Then within 6 s the cancelled job is shown as cancelled
    And no task of the cancelled job started

  Scenario: Callers do not wait for a holder that is disconnected from the table
    Given 3 entries and 4 workers of one service
    And no work arrives for 6 s
    When the holder is disconnected from the table
    And a job of steps "1" is submitted at another entry after 0.3 s
    Then it is accepted within 1.5 s
    And within 8 s it is shown as succeeded at the other entries

  Scenario: A holder that alone is disconnected from the table releases its service to a connected entry
    Given 3 entries and 4 workers of one service
    And its tasks take 1 s
    When a job of steps "2, 2 after 0" is submitted at entry 0
    And the holder is disconnected from the table
    Then another entry holds the service within 1.5 s
    And within 5 s it is shown as succeeded at the other entries
    And every task ran once

  Scenario: A holder keeps its service while the table refuses all entries
    Given 3 entries and 4 workers of one service
    And its tasks take 1 s
    When a job of steps "2, 2 after 0" is submitted at entry 0
    And the table refuses all entries for 1.5 s
    Then within 5 s it is shown as succeeded at every entry
    And the same entry held the service all the time

  Scenario: A job that is refused while the table is unavailable never runs
    Given 2 entries and 4 workers of one service
    When the table refuses all entries for 6 s
    And a job of steps "1" is submitted at entry 0 after 3 s
    Then it is refused as not run
    And 6 s later it is not known anywhere

  Scenario: A caller that stops waiting does not lose its job
    Given 2 entries and 4 workers of one service
    When a job of steps "1" is submitted at the holder by a caller that gives up at once
    Then within 4 s it is shown as succeeded at every entry

  Scenario: Tasks of an unresponsive worker start elsewhere after its lease has expired
    Given 2 entries and 4 workers of one service
    And its tasks take 2 s
    When a job of steps "4" is submitted at entry 0
    And after 0.5 s one of its workers stops responding
    Then within 10 s it is shown as succeeded at every entry
    And no task ran twice at the same time or after its end was acknowledged

  Scenario Outline: Starts that are executed late and without an answer do not run their tasks twice
    Given 2 entries and 3 workers of one service
    And each worker executes the first <starts> starts late and without an answer
    When a job of steps "<tasks>" is submitted at entry 0
    Then within 12 s it is shown as succeeded at every entry
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | starts | tasks |
      | 1      | 3     |
      | 5      | 24    |

  Scenario: A task whose start got no answer starts elsewhere as soon as a stop is confirmed
    Given 2 entries and 3 workers of one service
    And each worker executes the first 1 starts late and without an answer
    When a job of steps "3" is submitted at entry 0
    Then within 1.7 s it is shown as succeeded at every entry
    And no task ran twice at the same time or after its end was acknowledged

  Scenario: A stop that gets no answer is retried soon
    Given 2 entries and 3 workers of one service
    And each worker executes the first 1 starts late and without an answer
    And each worker leaves the first 1 stops unanswered
    When a job of steps "3" is submitted at entry 0
    Then within 1.9 s it is shown as succeeded at every entry
    And no task ran twice at the same time or after its end was acknowledged

  Scenario: Stops that are answered at almost the same time do not end their holder
    Given 1 entries and 1 workers of one service
    And each worker executes the first 4 starts late and without an answer
    And a cancelled poll takes 0.01 s to end and stops are answered 0.002 s apart
    When a job of steps "4" is submitted at entry 0
    Then within 4 s it is shown as succeeded at every entry
    And the holder did not change

  Scenario: An internal error in one holder ends only that holder
    Given 2 entries and 3 workers of one service
    When an internal error occurs in a link to a worker
    And a job of steps "2" is submitted at entry 0
    Then within 4 s it is shown as succeeded at every entry

  Scenario: The tasks of a worker that restarts at its host are started again at once
    Given 2 entries and 2 workers of one service
    And its tasks take 1 s
    When a job of steps "2" is submitted at entry 0
    And after 0.5 s all workers restart
    Then within 4 s it is shown as succeeded at every entry

  Scenario: A configuration never goes back to an older version
    Given 2 entries and 2 workers of one service
    When version 5 is declared and then version 4
    Then version 5 stays in force at every entry

  Scenario Outline: A configuration with <fault> does not come into force
    Given 2 entries and 2 workers of one service
    When version 5 is declared with <fault>
    Then version 1 stays in force at every entry
    When version 6 is declared
    Then version 6 stays in force at every entry

    Examples:
      | fault                     |
      | an unknown service        |
      | a duplicate queue         |
      | two queues for one path   |
      | a service declared twice  |
      | a path without its slash  |
      | no attempts               |

  Scenario: Steps of an advised queue run only where the policy allows
    Given 2 entries and 6 workers of one service
    When an advised job of steps "3, 3 after 0" is submitted
    Then within 4 s it is shown as succeeded at every entry
    And every task ran once
    And only workers that the policy allows ran it

  Scenario: A filling task is slowed down while it raises the latency of a serving task, and sped up again
    Given a worker with a serving task of target 100 ms and a filling task
    Then the filling task's pace goes as follows
      | tail ms | percent |
      | 50      | 100     |
      | 120     | 50      |
      | 110     | 25      |
      | 75      | 25      |
      | 60      | 40      |
      | 130     | 20      |
      | 130     | 10      |
      | 130     | 0       |
      | 20      | 15      |

  Scenario: Long-running jobs go first, then jobs by priority, then jobs that are not late by due time
    Given jobs that wait as follows
      | job | lasts | priority | accepted s ago | objective s |
      | a   | no    | 1        | 0              | 2           |
      | b   | no    | 0        | 3              | 2           |
      | c   | no    | 0        | 1              | 2           |
      | d   | yes   | 1        | 9              | 2           |
      | e   | no    | 0        | 9              | 2           |
      | f   | no    | 0        | 1              | 4           |
    Then their order is "d, c, f, b, e, a"

  Scenario: Jobs that are cancelled while their notices wait do not start
    Given 2 entries and 4 workers of one service
    And reads of single rows take 0.3 s
    When 40 jobs are stored with notices to the holder and cancelled 0.2 s later
    Then for 14 s none of them starts
