Feature: A caller is answered without the handler, unlogged or as not run though its job may run
  The listener ends connections beyond its limit and requests that it can't read, or whose handler
  fails. It doesn't know what became of the jobs they name.

  Scenario: A retry is rejected as not run at the limit of connections though its job runs
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their log lines are captured
    And a job's submission gets no answer at an entry
    When that entry has as many connections as it may, and the job is submitted again on one more
    Then that connection gets the status 504 "unknown", and is closed
    And a log line of "front" names the request with the kind "job-unsettled"

  Scenario: A submission is rejected at the limit of connections without a trace
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their log lines are captured
    When that entry has as many connections as it may, and the job is submitted again on one more
    Then that connection gets the status 503 "not-run", and is closed
    And a log line of "front" names the request with the kind "overloaded"
    And the metrics count a refusal "overloaded"
    And the job does not run

  Scenario: Connections beyond the limit that ask for nothing are kept
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their log lines are captured
    And a listener may have 4 connections and 3 beyond
    When 20 callers connect and wait
    Then it never has more than 7 connections
    And within 3 s 16 of them are closed without an answer, and 4 stay
    And the log lines and the metrics count 16 of the kind "too-many-connections"

  Scenario Outline: A caller gets <status> from a job's listener without a trace, as not run
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And their log lines are captured
    And a listener allows 0.3 s for heads and bodies
    When the bytes "<bytes>" are sent to it
    Then that connection gets the status <status> "<outcome>", and is closed
    And the log lines and the metrics count 1 of the kind "<kind>"
    And the log line has the status <status> and the target "<target>"

    Examples: requests whose handler gives no answer
      | bytes                                                                         | status | outcome | kind           | target   |
      | POST /q/job-1 HTTP/1.1\r\n\r\n                                                | 400    | unknown | bad-head       |          |
      | POST /q/job-1 HTTP/1.1\r\nHost: a\r\nX: {x*40000}\r\n\r\n                     | 431    | unknown | bad-head       |          |
      | POST /q/job-1 HTTP/1.1\r\nHost: a                                             | 408    | unknown | slow-head      |          |
      | POST /q/job-1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 9\r\n\r\n{       | 408    | unknown | slow-body      | /q/job-1 |
      | POST /q/job-1 HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n | 0 |         | broken-request | /q/job-1 |
      | POST /q/fault HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\n\r\n        | 500    | unknown | handler-failed | /q/fault |

  Scenario: A flood of requests without a handler's answer fills the log
    Given a log of such requests
    And their log lines are captured
    When 1000 connections and 500 bad heads are logged within a second
    Then it has 20 lines of each, and one more that counts the others
