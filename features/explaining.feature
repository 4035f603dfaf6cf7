Feature: Log lines lead from a failed request to its cause, as docs/OPERATIONS.md describes

  Scenario: A job was refused though workers were free
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their log lines are captured
    When the table has refused all requests for 1 s
    And "POST" "/q/job-1" is sent with 1 steps of 0.2 s
    Then the response has status 503 and contains "not-run"
    And the lines with "job-1" include
      | part  | event                       | field | value             |
      | front | A request got no success.   | kind  | table-unavailable |
    And these lines within 3 s of them give the cause
      | part   | event                       | field | value |
      | writer | The table gave no answer.   | why   | 503   |

  Scenario: A job was late
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their log lines are captured
    When its tasks take 1.5 s
    And 12 jobs that each fill a worker are submitted
    And all of them have succeeded
    Then the lines with the last job include
      | part   | event               | field    | value |
      | holder | A job is taken in.  | chain_s  |       |
      | holder | run starts          | waited_s | > 2   |
      | holder | job ended           | took_s   | > 3   |
    And these lines within 3 s of them give the cause
      | part   | event                        | field | value          |
      | fleet  | What pools have and need.    | pools | "cpu_waiting": |

  Scenario: A job was lost sight of during a takeover
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their log lines are captured
    When the entry that holds the service stops
    And "POST" "/q/job-1" is sent with 1 steps of 0.2 s
    And within 12 s "GET" "/q/job-1" returns 200 with "succeeded" at every entry
    Then the lines with "job-1" include
      | part   | event                             | field    | value     |
      | desk   | A job is stored for its holder.   | is_new   | True      |
      | holder | run starts                        | waited_s |           |
      | holder | job ended                         | state    | succeeded |
    And these lines between them give the cause
      | part   | event                        | field | value |
      | desk   | The holder can't be reached. | service | a   |
      | shards | A lease is taken.            | epoch | 2     |
      | holder | A service is held.           | epoch | 2     |
