Feature: The way from a failed request to its cause, as docs/OPERATIONS.md describes it

  Scenario: A job was refused though workers were free
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their logs are kept
    When the table has refused all requests for 1 s
    And "POST" "/q/job-1" is sent with 1 steps of 0.2 s
    Then the response has status 503 and contains "not-run"
    And the lines with "job-1" are
      | part  | event                       | field | value             |
      | front | A request got no success.   | kind  | table-unavailable |
    And within the same 3 s these lines tell the cause
      | part   | event                       | field | value |
      | writer | The table gave no answer.   | why   | 503   |

  Scenario: A job was late
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their logs are kept
    When its tasks take 1.5 s
    And 12 jobs that fill a worker each are asked for
    And all of them have succeeded
    Then the lines with the last job are
      | part   | event               | field    | value |
      | holder | A job is taken in.  | chain_s  |       |
      | holder | run starts          | waited_s | > 2   |
      | holder | job ended           | took_s   | > 3   |
    And within the same 3 s these lines tell the cause
      | part   | event                        | field | value          |
      | fleet  | What pools have and need.    | pools | "cpu_waiting": |

  Scenario: A job was lost sight of during a takeover
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their logs are kept
    When the entry that holds the service is gone
    And "POST" "/q/job-1" is sent with 1 steps of 0.2 s
    And within 12 s "GET" "/q/job-1" returns 200 with "succeeded" at every entry
    Then the lines with "job-1" are
      | part   | event                             | field    | value     |
      | desk   | A job is stored for its holder.   | is_new   | True      |
      | holder | run starts                        | waited_s |           |
      | holder | job ended                         | state    | succeeded |
    And these lines, in between, tell the cause
      | part   | event                        | field | value |
      | desk   | The holder can't be reached. | service | a   |
      | shards | A lease is taken.            | epoch | 2     |
      | holder | A service is held.           | epoch | 2     |
