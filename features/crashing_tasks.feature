Feature: A task that crashes the workers that start it
  It is given up after few crashes, and costs the tasks beside it one run at most.

  Scenario: A task that crashes its workers is started without limit
    Given 3 entries and 6 workers of one service
    And task 0 of the next job crashes its worker 0.01 s after its start
    When a job of 4 tasks of 0.8 s is submitted
    Then within 30 s the job is shown as failed
    And no task broke the limit of crashes

  Scenario: A task that crashes its workers late is started without limit
    Given 3 entries and 6 workers of one service
    And task 0 of the next job crashes its worker 2 s after its start
    When a job of 4 tasks of 5 s is submitted
    Then within 60 s the job is shown as failed
    And no task broke the limit of crashes

  Scenario: A task that crashes its workers stays unnoticed while their old entries are listed
    Given 3 entries and 6 workers of one service
    And workers that ended stay listed for 4.5 s
    And task 0 of the next job crashes its worker 0.01 s after its start
    When a job of 4 tasks of 0.8 s is submitted
    Then within 30 s the job is shown as failed
    And no task broke the limit of crashes

  Scenario: Workers that come back after their lease hide a task that crashes them
    Given 3 entries and 6 workers of one service
    And a crashed worker is back after 8 s
    And task 0 of the next job crashes its worker 0.01 s after its start
    When a job of 4 tasks of 0.8 s is submitted
    Then within 60 s the job is shown as failed
    And no task broke the limit of crashes

  Scenario: Tasks beside one that crashes its workers are lost with it again and again
    Given 3 entries and 6 workers of one service
    And its tasks take 2 s
    And 8 jobs of 3 tasks run
    And task 0 of the next job crashes its worker 0.01 s after its start
    When a job of 4 tasks of 0.8 s is submitted
    Then within 30 s the job is shown as failed
    And the other jobs succeed within 30 s
    And no task that crashes no worker was lost more than once
    And no task broke the limit of crashes

  Scenario Outline: The crashes of a task are forgotten as the service changes hands
    Given 4 entries and 6 workers of one service
    And task 0 of the next job crashes its worker 0.01 s after its start
    When a job of 4 tasks of 0.8 s is submitted
    And the holder is <fault> <delay> s after each of the first 3 crashes
    Then within 60 s the job is shown as failed
    And no task broke the limit of crashes

    Examples: faults
      | fault            | delay |
      | killed           | 3.3   |
      | killed           | 3.6   |
      | stopped gracefully | 1.0 |

  Scenario: A gang with a task that crashes its workers is started without limit
    Given 3 entries and 6 workers of one service
    And task 0 of the next job crashes its worker 0.01 s after its start
    When a gang of 4 tasks of 0.8 s is submitted
    Then within 40 s the job is shown as failed
    And no task broke the limit of crashes

  Scenario: A long-running task that crashes its workers is started without limit
    Given 3 entries and 6 workers of one service
    And task 0 of the next job crashes its worker 0.01 s after its start
    When a long-running job of 4 tasks is submitted
    Then within 40 s the job is shown as failed
    And no task broke the limit of crashes

  Scenario: Long-running tasks are given up or kept away as others crash their workers
    Given 3 entries and 6 workers of one service
    And a long-running job of 8 tasks runs
    And task 0 of 8 jobs crashes its worker 0.01 s after its start
    When these jobs of 2 tasks of 0.8 s are submitted over 24 s
    Then within 40 s the jobs that crash workers are shown as failed
    And within 8 s all long-running tasks are at work
    And no task broke the limit of crashes

  Scenario: Many tasks that crash their workers leave no workers to the others
    Given 3 entries and 6 workers of one service
    And task 0 of 6 jobs crashes its worker 0.01 s after its start
    When these jobs of 2 tasks of 0.8 s are submitted over 3 s
    And 10 jobs of 2 tasks of 0.8 s are submitted over 10 s
    Then within 60 s the jobs that crash workers are shown as failed
    And the other jobs succeed within 10 s
    And no task broke the limit of crashes

  Scenario: A job is given up because its worker was silent several times
    Given 3 entries and 6 workers of one service
    When a job of 1 tasks of 6 s is submitted
    And the worker that runs it falls silent for 8 s, 5 times in a row
    Then within 40 s the job succeeds
    And no task was counted as crashed

  Scenario: A job is given up because its hosts were moved and drained
    Given 3 entries and 6 workers of one service
    When a job of 1 tasks of 6 s is submitted
    And the worker that runs it drains and leaves after 1 s, 5 times in a row
    Then within 40 s the job succeeds
    And no task was counted as crashed

  Scenario: Jobs are given up because workers crash for other reasons
    Given 3 entries and 8 workers of one service
    And its tasks take 1.5 s
    When 40 jobs of 3 tasks come over 20 s while any worker crashes every 2 s
    Then within 40 s all are shown as succeeded

  Scenario: Jobs are given up because half of the workers lose power several times
    Given 3 entries and 8 workers of one service
    And its tasks take 1.5 s
    When 40 jobs of 3 tasks come over 20 s while half of the workers crash every 6 s
    Then within 40 s all are shown as succeeded

  Scenario: Jobs are given up early as the busiest worker crashes again and again
    Given 3 entries and 8 workers of one service
    And its tasks take 1.5 s
    When 40 jobs of 3 tasks come over 20 s while the busiest worker crashes every 0.7 s
    Then within 60 s each has ended, as failed only if a task of it lost 3 workers or more

  Scenario Outline: Only a crash counts among the ends of a worker
    Given a scheduler with 1 worker of 8 cores that runs 2 tasks
    When the first worker <end>
    Then <count> crashes are counted for each of its tasks

    Examples: ends
      | end                                         | count |
      | answers as a later incarnation              | 1     |
      | is followed by a later one at its host      | 1     |
      | is followed by one at another host          | 0     |
      | falls silent and answers again              | 0     |
      | falls silent and restarts after its lease   | 1     |
      | drains and is followed by a later one       | 0     |
      | falls silent, and its host is cleared after | 0     |

  Scenario: Operators can't tell why a suspected task waits
    Given a scheduler with 2 worker of 8 cores that runs 1 tasks
    When the first worker is followed by a later one at its host
    Then operators see that its job waits for a worker of its own after 1 crash

  Scenario: A task starts again before its crash is stored
    Given a scheduler with 2 worker of 8 cores that runs 1 tasks
    When the first worker is followed by a later one at its host
    Then its task starts only after the crash and the plan of its trial are stored
