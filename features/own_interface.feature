Feature: Callers and operators use the native interface for jobs

  Scenario: A job is submitted, shown, counted and cancelled at any entry
    Given 2 entries that serve the native interface over sockets, with 4 workers
    When "POST" "/q/job-1" is sent with 2 steps of 0.2 s
    Then the response has status 200 and contains "queued"
    And within 4 s "GET" "/q/job-1" returns 200 with "succeeded" at every entry
    And the metrics measure the stages "accept, store, wait, start, job, takeover"
    When its tasks take 60 s
    And "POST" "/q/job-2" is sent with 2 steps of 0.2 s
    And "DELETE" "/q/job-2" is sent to the other entry
    Then the response has status 200 and contains "cancelled"
    And within 2 s "GET" "/q/job-2" returns 200 with "cancelled" at every entry
    And within 2 s "GET" "/q/" returns 200 with "0" at every entry
    And within 2 s "GET" "/q/job-3" returns 410 with "unknown-job" at every entry
    And within 2 s "GET" "/other/job-3" returns 404 with "unknown-queue" at every entry

  Scenario: An invalid job is rejected with the reason, and nothing is stored
    Given 2 entries that serve the native interface over sockets, with 4 workers
    Then these jobs are rejected with 400 and the text, and no row is stored
      | id      | body                                                        | text                  |
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
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And its tasks take 60 s
    When "POST" "/q/job-1" is sent with 2 steps of 0.2 s
    And "POST" "/q/huge" is sent with tasks of 900 cores
    And the job command "jobs" is run
    Then it exits with 0 and its lines match
      | job   | .*running.*   |
      | job-1 | .*running.*   |
      | huge  | .*large enough.* |
    When the job command "jobs --state queued" is run
    Then it exits with 0 and its lines match
      | huge | .*queued.* |
    And no line contains "job-1"
    When the job command "job job-1" is run
    Then it exits with 0 and its lines match
      | state:        | .*running.* |
      | job-1.0.0.0   | .*running.* |
      | job-1.0.1.0   | .*waiting.* |
    When the job command "explain job-1" is run
    Then it exits with 0 and its lines match
      | run starts | .*job-1.0.0.* |
    When the job command "explain huge" is run
    Then it exits with 0 and its lines match
      | waits for a worker | .*large enough.* |
    When the job command "queues" is run
    Then it exits with 0 and its lines match
      | q | q +a +0 +1 +2 +.* |
    When the job command "pools" is run
    Then it exits with 0 and its lines match
      | a | a +4 +\S+ +4 +4 .* |
    When the job command "holders" is run
    Then it exits with 0 and its lines match
      | a      | a +e\d +\d+ .*yes.* |
      | *fleet | .*e\d.* |
    When the job command "waves" is run
    Then it exits with 0 and its lines match
      | none | none |
    When the job command "cancel job-1" is run
    Then it exits with 0 and its lines match
      | job-1 | job-1 is cancelled |
    When the job command "job nothing" is run
    Then it exits with 9 and its lines match
      | nothing | .*no job.* |

  Scenario: Operators see jobs and the age of leases during a table outage
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And its tasks take 60 s
    When "POST" "/q/job-1" is sent with 2 steps of 0.2 s
    And the table has refused all requests for 3 s
    And the job command "jobs" is run
    Then it exits with 0 and its lines match
      | job-1 | .*running.* |
    When the job command "holders --json" is run
    Then the lease of "a" is shown as over 2.5 s old

  Scenario: Operators are told which holders gave no answer
    Given 2 entries that serve the native interface over sockets, with 4 workers
    When the holding entry is gone and the table refuses all requests
    And the job command "jobs" is run
    Then it exits with 0 and its lines match
      | no answer from the holders of | .*a |
    When the job command "job job-1" is run
    Then it exits with 5 and its lines match
      | no answer | .*it isn't known whether job-1 exists.* |
