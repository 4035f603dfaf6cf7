Feature: A submission is rejected as not run only if the job never runs
  The table's answers, time limits, callers that leave, further tries and the end of the holder come in any order.

  Scenario: A job is rejected though its transaction is answered as the time limit ends
    When a submission meets all orders of 2 events, 0 to 1 turns of the loop apart
    Then no caller's answer is contradicted

  Scenario: A job is rejected though it was stored, with more turns between the events
    When a submission meets all orders of 2 events, 2 to 3 turns of the loop apart
    Then no caller's answer is contradicted

  Scenario: A job is rejected though another try of it is stored
    When a submission at 1 entries meets 160 random orders of 3 events, 0 to 3 turns of the loop apart
    Then no caller's answer is contradicted

  Scenario: A job is rejected though another try of it at another entry is stored
    When a submission at 3 entries meets 80 random orders of 4 events, 0 to 3 turns of the loop apart
    Then no caller's answer is contradicted

  Scenario: A job is rejected though it was stored as its caller's own time limit ended
    When a submission whose caller's time limit ends with the holder's meets all orders of 2 events, 0 to 1 turns of the loop apart
    Then no caller's answer is contradicted

  Scenario: A job is rejected though another try of it, whose caller's own time limit ended, is stored
    When a submission at 3 entries whose callers' time limits end with the holder's meets 80 random orders of 4 events, 0 to 3 turns of the loop apart
    Then no caller's answer is contradicted

  Scenario Outline: A retry is rejected as not run though the <gone> of the first try stored the job late
    Given 3 entries and 4 workers of one service
    When a job's write by the <gone> of its first try is carried out 2 s after that entry's end
    And the job is submitted again at another entry, which the table turns away
    Then the caller is told that the job may run
    And the job runs

    Examples: who sent the write that got no answer
      | gone            |
      | entry           |
      | restarted entry |
      | holder          |

  Scenario: A retry is rejected as not run though the entry of the first try, cut off from the holder, is in doubt
    Given 3 entries and 4 workers of one service
    When a job's first try reaches no holder, and the entry's own write is carried out 2 s late
    And the job is submitted again at another entry, which the table turns away
    Then the caller is told that the job may run
    And the job runs

  Scenario Outline: A job that was submitted at <place> is rejected as not run though its holder stores it late
    Given 2 entries and 4 workers of one service
    When a job is submitted at <place>, whose holder stores it but answers after the time limit
    Then the caller is told that the job may run
    And the job runs

    Examples: entries
      | place         |
      | the holder    |
      | another entry |

  Scenario Outline: A holder that <state> says of a job that it has sent what it says of any other
    Given 1 entries and 4 workers of one service
    When a job is sent by its holder, which then <state>
    Then the holder says that the job is unsettled, and of another one that it is <other>

    Examples: holders that take no submission
      | state             | other        |
      | is stalled        | table-silent |
      | has a stale lease | not-stored   |

  Scenario: A job that its entry knows to be stored is in doubt again
    Given 2 entries and 4 workers of one service
    When a job is stored, and submitted again at an entry that reaches nothing any more
    Then the caller is told that the job is stored

  Scenario: A job that waits at its holder is rejected as not run though the holder has taken it in meanwhile
    Given 3 entries and 4 workers of one service
    When a job waits at its holder, and a try at an entry that can't reach the holder stores it
    Then the waiting caller is told that the job is stored
    And the job runs

  Scenario Outline: A retry is rejected as not run though its first try is in doubt, at an entry that <missed> the report
    Given 3 entries and 4 workers of one service
    When a job's first try at an entry is left in doubt, and another entry <missed> the report of it
    And the job is submitted again there after <delay_s> s, and the table turns it away
    Then the caller is told that the job may run

    Examples: how a report is missed
      | missed                                            | delay_s |
      | did not get                                       | 0       |
      | rejected others and did not get                   | 0.6     |
      | rejected others and stood still during            | 0       |
      | could not read heartbeats for 6 s and did not get | 0       |
      | started anew after                                | 0.2     |
      | started anew after                                | 6       |

  Scenario Outline: A retry is rejected as not run though the <gone> of its first try, which reached no holder, had told nobody
    Given 3 entries and 4 workers of one service
    When an entry that reaches no holder sends a job's write, and ends as <gone>
    And the job is submitted again at another entry, which the table turns away
    Then the caller is told that the job may run
    And the job runs

    Examples: ways in which the entry of the first try ends
      | gone                     |
      | entry                    |
      | restarted entry          |
      | entry that others follow |

  Scenario: Rejections are in doubt for long after a first start, or after the end of an entry
    Given 3 entries and 4 workers of one service
    When a job is submitted once at an entry that the table turns away
    Then the caller is told that the job doesn't run
    When another entry is killed, and a job is submitted once at an entry that the table turns away
    Then the caller is told that the job may run
    But 6 s later a job submitted once is rejected as not run

  Scenario: Rejections are in doubt for long after the end of an entry though their holder knows who submitted the jobs
    Given 3 entries and 4 workers of one service
    When 6 s later another entry is killed, and a job is submitted once at an entry that the table turns away
    Then the caller is told that the job doesn't run

  Scenario: A holder that has forgotten submitters says that it knows all recent ones
    When a holder that remembers the submitters of 2 jobs gets submissions of 3, 6 s after it was loaded
    Then it knows all recent submitters before them, and again 5 s after them

  Scenario: A holder that stood still says that it knows the submitters whose calls wait to be handled
    When a holder stands still for 1 s, 6 s after it was loaded
    Then it knows all recent submitters before that, and again 5 s after that

  Scenario: An entry that rejects many jobs calls the others for each of them
    Given 3 entries and 4 workers of one service
    When 200 jobs a second are rejected at an entry for 5 s
    Then it asked each other entry at most 3 times a second for its doubts
    And all of them were rejected as not run, within 0.75 s each after the first

  Scenario: A rejection is in doubt as another entry was told that the job was under way here
    Given 3 entries and 4 workers of one service
    When 100 jobs a second are rejected at two entries for 5 s
    Then all of them were rejected as not run, within 0.75 s each after the first
    And a job that one of them rejected is rejected as not run by the other one too, 0.6 s later

  Scenario Outline: A retry at an entry that has just started is rejected as not ready though <known>
    Given 1 entries and 4 workers of one service
    When a job is submitted at an entry that gets its configuration <after>
    Then the response has status <status> within <limit_s> s

    Examples: when the configuration arrives
      | known                               | after       | status | limit_s |
      | its configuration is about to come  | 0.2 s later | 200    | 0.3     |
      | it never gets a configuration       | never       | 503    | 0.6     |

  Scenario Outline: A job that <where> is said to be unknown to a caller that <asks>, and runs
    Given 3 entries and 4 workers of one service
    When a job <where>, and a caller at another entry <asks>
    Then the caller is not told that there is no such job
    And the job runs

    Examples: states in which no row tells of the job yet
      | where                                     | asks               |
      | waits for its next transaction            | asks for its state |
      | waits for its next transaction            | cancels the job    |
      | is in a transaction of a holder that died | asks for its state |
      | is in a transaction of a holder that died | cancels the job    |

  Scenario Outline: A lost holder's jobs are said to be unknown as another one was lost before
    Given 1 entries and 4 workers of one service
    When the holder's entry was <events>
    Then a job that is not in the table is <kind>

    Examples: nothing is ruled out for 5 s after a holder was lost
      | events                                              | kind           |
      | gone                                                | job-unreadable |
      | gone, asked for 6 s                                 | unknown-job    |
      | gone, left alone for 6 s, gone                      | job-unreadable |
      | gone, asked for 6 s, replaced, gone                 | job-unreadable |
      | gone, asked for 6 s, replaced, gone, asked for 6 s  | unknown-job    |
      | gone, asked for 6 s, there, gone                    | job-unreadable |
      | gone, asked for 6 s, there                          | unknown-job    |

  Scenario: A cancel that waits for its holder never ends as the holder has ended
    Given 1 entries and 4 workers of one service
    When a running job is cancelled at its holder while the table is silent, and the holder ends
    Then the holder's answer to the cancel comes within 1 s

  Scenario: A job is rejected as too large though an earlier submission of it may be stored
    Given 1 entries and 4 workers of one service
    When a job's submission gets no answer, and the table refuses the next one as too large
    Then the caller is told that the job may run

  Scenario Outline: A job whose submission is in doubt is <said> as unknown to a caller that <asks>
    Given 1 entries and 4 workers of one service
    When a job's submission gets no answer, and a caller <asks>
    Then the caller is not told that there is no such job
    But 61 s later it is told that there is no such job

    Examples: calls
      | asks                  | said      |
      | asks for its state    | shown     |
      | cancels the job       | cancelled |

  Scenario: An entry that shuts down rejects a job as not run though its first submission may be stored
    Given 1 entries and 4 workers of one service
    When a job's submission gets no answer, and it is submitted again as the entry shuts down
    Then the response has status 504 and says that the job may run
    And the log names the request by its caller's id

  Scenario: A retry is rejected as not run at once after the first try's time limit, which no entry was told of
    Given 3 entries and 4 workers of one service
    When a caller's time limit ends while the job is written, and it is submitted again at once at an entry that shuts down
    Then the response has status 504 and says that the job may run
    And the first response came within the caller's time limit
    And the job runs

  Scenario Outline: A job that was refused with <status> is not stored by its holder when it is submitted again
    Given 1 entries and 4 workers of one service
    When a job's submission is refused by the table with <status>
    Then the caller is told <kind>, and that the job never runs
    When the holder's transactions are carried out again, and the job is submitted once more
    Then the caller is told that the job is stored
    And the job runs

    Examples: answers of the table
      | status | kind              |
      | 503    | table-unavailable |
      | 413    | body-too-large    |

  Scenario: A job is in doubt though the table was known to be silent before it was submitted
    Given 1 entries and 4 workers of one service
    When a job is submitted after the table has been silent for 1.6 s
    Then the caller is told table-unavailable, and that the job never runs

  Scenario: Jobs whose callers have left fill the memory of their holder
    Given 1 entries and 4 workers of one service
    When 50 callers leave while their jobs wait at a holder whose table turns them away
    Then the holder keeps none of these jobs

  Scenario: An accepted job whose queue moves to another service is said to be unknown
    Given 3 entries and two services
    When a job is accepted, and its queue moves to the other service
    And a caller asks for its state
    Then the caller is told of the job

  Scenario: An accepted job whose queue moves to another service runs twice
    Given 3 entries and two services
    When a job is accepted, and its queue moves to the other service
    And the same submission arrives once more
    Then it remains one job

  Scenario Outline: What is known of a submission goes beyond the answers to its attempts
    Then a submission is <outcome> after it was <events>

    Examples: a call waits, and transactions with the job are sent, refused, lost or carried out
      | events                                  | outcome    |
      | joined                                  | unknown    |
      | joined, left                            | not-stored |
      | joined, joined, left                    | unknown    |
      | joined, joined, left, left              | not-stored |
      | joined, sent, left                      | unknown    |
      | joined, sent, refused                   | unknown    |
      | joined, sent, refused, left             | not-stored |
      | joined, sent, left, refused             | unknown    |
      | joined, sent, left, refused, closed     | not-stored |
      | joined, sent, lost, left                | unknown    |
      | joined, sent, lost, closed              | unknown    |
      | joined, sent, lost, sent, refused, left | unknown    |
      | joined, sent, closed                    | unknown    |
      | joined, sent, closed, refused           | not-stored |
      | joined, sent, stored                    | stored     |
      | joined, sent, lost, stored, closed      | stored     |
      | joined, sent, lost, ruled-out           | not-stored |
      | joined, sent, ruled-out, left           | not-stored |

  Scenario Outline: An entry forgets what became of a submission
    Then after a job was <events>, an entry says that it <stored> be stored, and that it <appears> appear

    Examples: submissions of callers, how they ended, and reports of other entries
      | events                                      | stored | appears |
      | begun                                       | may    | may     |
      | begun, not-stored                           | can't  | can't   |
      | begun, stored                               | may    | can't   |
      | begun, unknown                              | may    | may     |
      | reported                                    | may    | may     |
      | reported, kept for long                     | may    | can't   |
      | begun, kept for long                        | may    | may     |
      | begun, begun, not-stored                    | may    | may     |
      | begun, unknown, begun, not-stored           | may    | may     |
      | begun, unknown, begun, stored               | may    | can't   |
      | reported, begun, not-stored                 | may    | may     |
      | reported, 10 others reported                | may    | may     |
      | reported, 10 others reported, kept for long | can't  | can't   |

  Scenario: A retry is rejected as not run while the entry of the first try, whose caller has left, writes the job
    Given 3 entries and 4 workers of one service
    When an entry writes a job whose caller has left, and it is submitted again at an entry that shuts down
    Then the response has status 504 and says that the job may run
    And the job runs

  Scenario Outline: A job that its entry writes without the holder is said to be unknown to a caller that <asks>
    Given 3 entries and 4 workers of one service
    When an entry writes a job whose caller has left, and a caller at another entry <asks>
    Then the caller is not told that there is no such job
    And the job runs

    Examples: calls
      | asks               |
      | asks for its state |
      | cancels the job    |

  @soak
  Scenario: A job is rejected though it was stored, in long orders
    When a submission at 3 entries meets 2000 random orders of 5 events, 0 to 3 turns of the loop apart
    Then no caller's answer is contradicted
