Feature: The platform adapter implements the protocol of the users' platform

  Scenario: Rows are read in pages, written under conditions and watched
    Given the platform's stand-in
    When 7 rows are written one by one through the adapter
    Then a scan returns all 7 rows
    And a write with an outdated version condition is refused with the current row
    And a watch returns the next change, also after the store has dropped its history

  Scenario: A lost response of the store is detected soon after fast responses
    Given the platform's stand-in
    When 7 rows are written one by one through the adapter
    And the store stops responding
    Then a commit raises TableAnswerLost within 0.8 s

  Scenario: Refusals by the store do not shorten the timeout for slow responses
    Given the platform's stand-in
    When 7 rows are written one by one through the adapter
    And the store takes 0.8 s for each of 2 responses and refuses 20 calls in between
    Then the second slow response arrives within the timeout

  Scenario Outline: The timeout of calls adapts to their response times
    Given an adaptive timeout between 0.2 s and 1 s
    When responses took "<took>" s
    Then the timeout is <limit> s

    Examples:
      | took                              | limit |
      |                                   | 1     |
      | 0.005                             | 0.2   |
      | 0.1                               | 0.3   |
      | 0.1 0.1 0.1 0.1 0.1 0.1 0.1 0.1   | 0.2   |
      | 0.005 lost                        | 0.4   |
      | 0.005 lost lost                   | 0.8   |
      | 0.005 lost lost lost              | 1     |
      | 0.005 lost lost 0.005             | 0.2   |
      | 0.6                               | 1     |

  Scenario Outline: Status <status> of the store raises <error>
    Given the platform's stand-in
    When the store returns status <status>
    Then a commit raises <error>

    Examples:
      | status | error            |
      | 429    | TableUnavailable |
      | 503    | TableUnavailable |
      | 500    | TableAnswerLost  |

  Scenario Outline: An answer that nobody asked for, <when>, refuses the next commit
    Given a store that sends a second answer, of status 503, <when> after its first
    Then 2 commits over kept connections raise no error

    Examples:
      | when    |
      | 0 s     |
      | 0.05 s  |

  Scenario Outline: Status <status> <reason> of a worker results in <outcome>
    Given the platform's stand-in
    When workers return status <status> "<reason>" to a start
    Then the start results in <outcome>

    Examples:
      | status | reason | outcome      |
      | 200    |        | started      |
      | 409    | room   | ROOM         |
      | 409    | old    | OLD          |
      | 409    | late   | LATE         |
      | 409    | ticket | TICKET       |
      | 409    | fence  | Fenced       |
      | 421    |        | WrongWorker  |
      | 429    |        | OrderNotDone |
      | 503    |        | OrderNotDone |
      | 400    |        | OrderNotDone |

  Scenario Outline: Status <status> of a worker says that a start was not executed, or that it was
    Given the platform's stand-in
    When workers return status <status> "" to a start
    Then the start results in OrderAnswerLost

    Examples: Answers that the protocol doesn't have
      | status |
      | 204    |
      | 408    |
      | 409    |
      | 500    |
      | 502    |
      | 504    |

  Scenario Outline: Status <status> of the host service to an order results in <outcome>
    Given the platform's stand-in
    When the host service returns status <status> "<reason>" to a move
    Then the move results in <outcome>

    Examples:
      | status | reason | outcome          |
      | 200    |        | DONE             |
      | 400    |        | NO_SUCH_HOST     |
      | 409    | fence  | FENCED           |
      | 409    | busy   | BUSY             |
      | 429    |        | HostsUnavailable |
      | 503    |        | HostsUnavailable |
      | 500    |        | HostsAnswerLost  |
      | 504    |        | HostsAnswerLost  |

  Scenario Outline: A malformed answer to a poll counts as lost: <body>
    Then a poll that is answered with <body> raises "OrderAnswerLost"

    Examples:
      | body                                                           |
      | {"clockMs":1,"finished":[[1,"0.0.0.0",1,"no such way",""]]}    |
      | {"clockMs":1,"finished":[["first","0.0.0.0",1,"done",""]]}     |
      | {"clockMs":1,"running":[["0.0.0.0"]]}                          |
      | no object                                                      |

  Scenario Outline: A poll whose list of ends is cut off counts as complete
    Then a poll that returns <count> ends is <completeness>

    Examples:
      | count | completeness |
      | 0     | complete     |
      | 499   | complete     |
      | 500   | incomplete   |

  Scenario Outline: A list of hosts <kind> ends a holder or never ends
    Then a list of hosts <kind> gives "<outcome>"

    Examples:
      | kind                          | outcome          |
      | in 2 parts                    | 2 hosts          |
      | with an empty token           | 1 hosts          |
      | with a state that is not known | HostsUnavailable |

  Scenario Outline: A worker row that is <fault> is ignored
    When a worker row is <fault>
    Then the row is ignored

    Examples:
      | fault               |
      | not JSON            |
      | without an address  |
      | in an unknown state |
      | of another type     |

  Scenario: Every field of a job is decoded
    When a job with every field is decoded
    Then each field has its submitted value

  Scenario Outline: A configuration that is <fault> is rejected
    When a configuration is <fault>
    Then the configuration is rejected

    Examples:
      | fault             |
      | cut off           |
      | without routes    |
      | without services  |
      | without a version |
      | of another type   |

  Scenario Outline: A job that is <fault> is rejected as malformed
    When a job body is <fault>
    Then it is rejected with status 400

    Examples:
      | fault            |
      | not JSON         |
      | without steps    |
      | with text counts |

  Scenario: Startup with invalid settings fails and names the invalid field
    When an entry starts with settings without a store
    Then it exits with 2 and names the field

  Scenario: Entry processes serve jobs over the platform's protocol despite kills and restarts
    Given the platform's stand-in with 4 workers and 2 entries as processes
    When a job is submitted over HTTP to the first entry
    Then within 10 s its state is succeeded at both entries
    And the metrics count the requests and the runs
    And SIGHUP with changed settings reloads them in every entry
    And an unknown job gets status 410, an unknown path 404 and the count is 0
    When the first entry is killed and a job is submitted to the second
    Then within 15 s its state is succeeded at the second entry
    When the first entry is started again and the second gets SIGTERM
    Then the second exits with 0 within 8 s
    And both jobs are shown as succeeded at the first entry
    And no task ran twice

  Scenario: A wave that is done is shown as running by a report whose answer was lost
    Given the platform's stand-in
    When the store loses the answer to the report that wave 7 runs, and carries it out 0.5 s later
    And the next report says that wave 7 is done
    Then after 1 s wave 7 is shown as "succeeded"
