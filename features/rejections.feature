Feature: Jobs that run although their callers were told that they would not are counted
  A 429 or 503 response says that the job never runs, so the count has to stay 0.

  Scenario: A rejected job runs without a trace
    Given 2 entries and 4 workers of one service
    And their log lines are captured
    And the holder turns submissions away
    And the table says that it refuses them and stores them
    When job 1 is submitted at another entry
    Then the responses are 503
    And within 3 s 1 job counts as run after its rejection
    And a warning names the job, the entry, the stored try and the rejection
    And within 5 s it is shown as succeeded at every entry
    And 20 s later 1 job counts as run after its rejection

  Scenario: A job that a later try submitted is taken for a rejected one
    Given 2 entries and 4 workers of one service
    And the holder turns submissions away
    And the table refuses them
    When job 1 is submitted at another entry
    And the table and the holder take submissions again
    And job 1 is submitted at another entry
    Then the responses are 503, 200
    And within 5 s it is shown as succeeded at every entry
    And 2 s later 0 jobs count as run after their rejection
    And every holder knows of its rejections

  Scenario: A job that never runs is taken for one that does
    Given 2 entries and 4 workers of one service
    And the holder turns submissions away
    And the table refuses them
    When job 1 is submitted at another entry
    Then the responses are 503
    And 5 s later 0 jobs count as run after their rejection
    And every holder knows of its rejections

  Scenario: A job that may run is taken for a rejected one
    Given 2 entries and 4 workers of one service
    And the holder turns submissions away
    And the table stores them without an answer
    When job 1 is submitted at another entry
    Then the responses are 504
    And within 5 s it is shown as succeeded at every entry
    And no rejection is kept
    And 2 s later 0 jobs count as run after their rejection

  Scenario: The rejections of an outage are told to no holder until the outage is over
    Given 2 entries and 4 workers of one service
    When the table refuses all entries for 20 s
    And job 1 is submitted at another entry after 8 s
    Then the responses are 503
    And 2 s later 0 jobs count as run after their rejection
    And every holder knows of its rejections

  Scenario Outline: A rejection is forgotten in a takeover
    Given 3 entries and 4 workers of one service
    And the holder turns submissions away
    And the table says that it refuses them and stores them <late> s later
    When job 1 is submitted at another entry
    And the holder is killed after <killed> s
    Then within 12 s 1 job counts as run after its rejection
    And 2 s later 1 job counts as run after its rejection

    Examples: the entry reports a rejection after 1 s, and the next holder loads the jobs in 3 to 6 s
      | killed | late |
      | 0.5    | 1.5  |
      | 0.5    | 8    |
      | 2      | 2.5  |
      | 2      | 8    |

  Scenario: A time limit that ends in the turn of the table's answer goes uncounted
    Given 1 entries and 4 workers of one service
    And the table refuses to store jobs without their holder
    And the table answers just before the holder's time limit, both in one turn of the event loop
    When job 1 is submitted at the holder
    Then within 3 s as many jobs count as ran after their rejection

  Scenario Outline: The time of the stored try decides whether its job counts
    Given a job whose stored try arrived at <stored> ms
    When its try that arrived at <received> ms is reported as rejected at <rejected> ms, <order>
    Then <count> jobs count at that holder

    Examples: The stored try was rejected
      | stored | received | rejected | order               | count |
      | 10000  | 10000    | 10700    | before it is stored | 1     |
      | 10000  | 10000    | 10700    | after it is stored  | 1     |
      | 10000  | 10000    | 10001    | before it is stored | 1     |

    Examples: A later try was rejected
      | stored | received | rejected | order               | count |
      | 10000  | 12000    | 12700    | before it is stored | 1     |
      | 10000  | 12000    | 12700    | after it is stored  | 1     |

    Examples: A later try was stored, also at an entry whose clock is 0.45 s behind
      | stored | received | rejected | order               | count |
      | 11000  | 10000    | 10700    | before it is stored | 0     |
      | 11000  | 10000    | 10700    | after it is stored  | 0     |
      | 10250  | 10000    | 10700    | before it is stored | 0     |
      | 10250  | 10000    | 10700    | after it is stored  | 0     |

  Scenario: A job that was rejected several times counts several times
    Given a job whose stored try arrived at 10000 ms
    When 3 entries report rejections of it, each twice, before and after it is stored
    Then 1 jobs count at that holder

  Scenario: The rejections of jobs that never run fill the memory of their holder
    Given a holder without jobs
    When the rejections of 20000 jobs are reported, and 1000 of one more
    Then it keeps at most 8192 jobs and 4 rejections of each
    When 61 s later the rejection of one more job is reported
    Then it keeps at most 1 jobs and 4 rejections of each

  Scenario: Rejections that no holder is told of fill the memory of their entry
    Given an entry whose calls no holder answers
    And its log lines are captured
    When 10000 jobs are rejected there
    Then it keeps at most 4096 rejections
    And after 33 s it keeps none, made at most 35 calls, and its log lines count 10000

  Scenario: The metrics of a running entry don't show a rejected job that runs
    Given 2 entries that serve the native interface over sockets, with 4 workers
    And the holder and the table turn submissions away, but the table stores them
    When "POST" "/q/job-1" is sent with 1 steps of 0.2 s
    Then the response has status 503 and contains "not-run"
    And within 5 s the metrics show 1 job that runs after its rejection
