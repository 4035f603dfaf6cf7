Feature: The adapter speaks the users' platform's protocol

  Scenario: Rows are read in pages, changed under conditions and watched
    Given the platform's stand-in
    When 7 rows are written one by one through the adapter
    Then a scan gives all 7 rows
    And a change under an old version is refused with the row's present version
    And a watch gives the next change, also after the history was forgotten

  Scenario: A lost answer of the store is known soon, once its answers are known to be quick
    Given the platform's stand-in
    When 7 rows are written one by one through the adapter
    And the store answers no more
    Then a commit ends with TableAnswerLost within 0.8 s

  Scenario: Refusals of the store do not shorten the time that a slow answer is waited for
    Given the platform's stand-in
    When 7 rows are written one by one through the adapter
    And the store takes 0.8 s for its next 2 answers and refuses 20 calls in between
    Then the second of them is waited for

  Scenario Outline: The time limit of calls follows their answers
    Given a limit of calls between 0.2 s and 1 s
    When answers took "<took>" s
    Then the limit is <limit> s

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

  Scenario Outline: A store that answers <status> counts as <error>
    Given the platform's stand-in
    When the store answers <status>
    Then a commit ends with <error>

    Examples:
      | status | error            |
      | 429    | TableUnavailable |
      | 503    | TableUnavailable |
      | 500    | TableAnswerLost  |

  Scenario Outline: A worker that answers <status> <reason> counts as <outcome>
    Given the platform's stand-in
    When workers answer <status> "<reason>" to a start
    Then the start ends as <outcome>

    Examples:
      | status | reason | outcome      |
      | 200    |        | started      |
      | 409    | room   | ROOM         |
      | 409    | old    | OLD          |
      | 409    | late   | LATE         |
      | 409    | ticket | TICKET       |
      | 409    | fence  | Fenced       |
      | 421    |        | WrongWorker  |
      | 503    |        | OrderNotDone |
      | 400    |        | OrderNotDone |

  Scenario Outline: An entry of the fleet's list that is <fault> names no worker
    When an entry is <fault>
    Then it names no worker

    Examples:
      | fault               |
      | not JSON            |
      | without an address  |
      | in an unknown state |
      | of another type     |

  Scenario: Field names are decoded into what they hold
    When a job with every field is read
    Then each field stands where it belongs

  Scenario Outline: A configuration that is <fault> is not read
    When a configuration is <fault>
    Then no configuration is read

    Examples:
      | fault             |
      | cut off           |
      | without routes    |
      | without services  |
      | without a version |
      | of another type   |

  Scenario Outline: A job that is <fault> is refused as unreadable
    When a job body is <fault>
    Then it is refused with 400

    Examples:
      | fault            |
      | not JSON         |
      | without steps    |
      | with text counts |

  Scenario: Settings that can't be used are named at the start
    When an entry starts with settings without a store
    Then it ends with 2 and names the field

  Scenario: Real processes serve a job over the platform's protocol, through kills and stops
    Given the platform's stand-in with 4 workers and 2 entries as processes
    When a job is handed in over HTTP at the first entry
    Then within 10 s its state is succeeded at both entries
    And the metrics count the requests and the runs
    And SIGHUP with changed settings ends no entry
    And an unknown job is answered 410, an unknown path 404 and the count is 0
    When the first entry is killed and a job is handed in at the second
    Then within 15 s its state is succeeded at the second entry
    When the first entry is started again and the second gets SIGTERM
    Then the second ends with 0 within 8 s
    And both jobs are shown as succeeded at the first entry
    And no task ran twice
