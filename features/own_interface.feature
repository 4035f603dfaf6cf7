Feature: Callers and operators use the product's own interface for jobs

  Scenario: A job is submitted, shown, counted and cancelled at any entry
    Given 2 entries that serve the own interface over sockets, with 4 workers
    When "POST" "/q/job-1" is asked with 2 steps of 0.2 s
    Then it answers 200 with "queued"
    And within 4 s "GET" "/q/job-1" at every entry answers 200 with "succeeded"
    And the metrics time the stages "accept, store, wait, start, job, takeover"
    When its tasks take 60 s
    And "POST" "/q/job-2" is asked with 2 steps of 0.2 s
    And "DELETE" "/q/job-2" is asked at the other entry
    Then it answers 200 with "cancelled"
    And within 2 s "GET" "/q/job-2" at every entry answers 200 with "cancelled"
    And within 2 s "GET" "/q/" at every entry answers 200 with "0"
    And within 2 s "GET" "/q/job-3" at every entry answers 410 with "unknown-job"
    And within 2 s "GET" "/other/job-3" at every entry answers 404 with "unknown-queue"

  Scenario: A job that can't be used is refused with what is wrong, and nothing is stored
    Given 2 entries that serve the own interface over sockets, with 4 workers
    Then these jobs are refused with 400 and the words, and no row is stored
      | id      | body                                                        | words                 |
      | a       | {                                                           | truncated             |
      | a       | {"spec":"s"}                                                | steps                 |
      | a       | {"spec":"s","steps":[]}                                     | no steps              |
      | a       | {"spec":"s","steps":[{"count":0}]}                          | step 0 has no tasks   |
      | a       | {"spec":"s","steps":[{"count":1,"cpus":1}]}                 | no field cpus         |
      | a       | {"spec":"s","steps":[{"count":"two"}]}                      | step 0                |
      | a       | {"spec":"s","steps":[{"count":1,"cpu_millis":-1}]}          | cpu_millis is negative |
      | a       | {"spec":"s","steps":[{"count":1,"after":[0]}]}              | not before it         |
      | a       | {"spec":"s","steps":[{"count":1},{"count":1,"after":[7]}]}  | not before it         |
      | a       | {"spec":"s","steps":[{"count":90000}]}                      | more than             |
      | a       | {"spec":"s","steps":[{"count":1}],"occurrences":-1}         | occurrences           |
      | a.0.0.0 | {"spec":"s","steps":[{"count":1}]}                          | id                    |
      | a/b     | {"spec":"s","steps":[{"count":1}]}                          | id                    |

  Scenario: Operators list, show, explain and cancel jobs, and see queues, pools and holders
    Given 2 entries that serve the own interface over sockets, with 4 workers
    And its tasks take 60 s
    When "POST" "/q/job-1" is asked with 2 steps of 0.2 s
    And "POST" "/q/huge" is asked for a worker of 900 cores
    And "jobs" is commanded for jobs
    Then it ends with 0 and its lines match
      | job   | .*running.*   |
      | job-1 | .*running.*   |
      | huge  | .*large enough.* |
    When "jobs --state queued" is commanded for jobs
    Then it ends with 0 and its lines match
      | huge | .*queued.* |
    And no line has "job-1"
    When "job job-1" is commanded for jobs
    Then it ends with 0 and its lines match
      | state:        | .*running.* |
      | job-1.0.0.0   | .*running.* |
      | job-1.0.1.0   | .*waiting.* |
    When "explain job-1" is commanded for jobs
    Then it ends with 0 and its lines match
      | run starts | .*job-1.0.0.* |
    When "explain huge" is commanded for jobs
    Then it ends with 0 and its lines match
      | waits for a worker | .*large enough.* |
    When "queues" is commanded for jobs
    Then it ends with 0 and its lines match
      | q | q +a +0 +1 +2 +.* |
    When "pools" is commanded for jobs
    Then it ends with 0 and its lines match
      | a | a +4 +\S+ +4 +4 .* |
    When "holders" is commanded for jobs
    Then it ends with 0 and its lines match
      | a      | a +e\d +\d+ .*yes.* |
      | *fleet | .*e\d.* |
    When "waves" is commanded for jobs
    Then it ends with 0 and its lines match
      | none | none |
    When "cancel job-1" is commanded for jobs
    Then it ends with 0 and its lines match
      | job-1 | job-1 is cancelled |
    When "job nothing" is commanded for jobs
    Then it ends with 9 and its lines match
      | nothing | .*no job.* |

  Scenario: Operators see jobs while the table is away, and how old the proof of the lease is
    Given 2 entries that serve the own interface over sockets, with 4 workers
    And its tasks take 60 s
    When "POST" "/q/job-1" is asked with 2 steps of 0.2 s
    And the table refuses everybody, for 3 s so far
    And "jobs" is commanded for jobs
    Then it ends with 0 and its lines match
      | job-1 | .*running.* |
    When "holders --json" is commanded for jobs
    Then the lease of "a" is said to be over 2.5 s old

  Scenario: Where a holder gives no answer, operators are told so
    Given 2 entries that serve the own interface over sockets, with 4 workers
    When the entry that holds the service is gone and the table refuses everybody
    And "jobs" is commanded for jobs
    Then it ends with 0 and its lines match
      | no answer from the holders of | .*a |
    When "job job-1" is commanded for jobs
    Then it ends with 5 and its lines match
      | no answer | .*it isn't known whether job-1 exists.* |
