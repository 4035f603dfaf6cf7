Feature: Orders to workers stay within the limits of the link and the processor, and the budgets

  Scenario: A long-running run whose start got no answer goes on
    Given 1 entries and 4 workers of one service
    And each worker executes the first 2 starts without an answer
    When a job of 4 long-running tasks, of which 1 may be unavailable, is submitted
    Then for 6 s no run of it is stopped
    And every task of it runs

  Scenario: A long-running task whose start gets lost is started again
    Given 1 entries and 4 workers of one service
    And each worker loses the first 1 starts
    When a job of 4 long-running tasks, of which 1 may be unavailable, is submitted
    Then within 5 s every task of it runs

  Scenario: A long-running task isn't stopped again once others of its step are unavailable
    Given a scheduler with a step of 4 long-running tasks over 2 workers, of which 1 may be unavailable
    When one of them is evicted, and its stop is not answered
    And another one of them fails
    Then no more stops are sent for 5 s
    When that one is available again
    Then the stop is sent again

  Scenario: A stop is not sent again while it is in flight
    Given 1 entries and 1 workers of one service
    And its tasks take 30 s
    And each worker leaves the first 9 stops unanswered
    When a job of steps "4" is submitted at entry 0
    And after 1 s it is cancelled at entry 0
    Then for 3 s at most one stop of a run is in flight

  Scenario: A worker is polled for a run whose start got no answer before it is stopped
    Given 1 entries and 4 workers of one service
    And each worker executes the first 2 starts without an answer
    And its tasks take 2 s
    When a job of steps "8" is submitted at entry 0
    Then within 4 s it is shown as succeeded at every entry
    And every task ran once

  Scenario: A burst that exceeds the holder's link waits at the holder
    Given 24 workers of one service and 1 entries, each with a link of 2 Mbit/s
    When 40 jobs of 8 tasks with 4 KB of specification are submitted within 1 s
    Then within 9 s all are shown as succeeded
    And every task ran once
    And every start was answered

  Scenario: A burst that exceeds the holder's link goes over the links of other entries
    Given 24 workers of one service and 6 entries, each with a link of 2 Mbit/s
    When 40 jobs of 8 tasks with 4 KB of specification are submitted within 1 s
    Then within 4.2 s all are shown as succeeded
    And every task ran once
    And every start was answered

  Scenario Outline: Starts that other entries forward run once though <fault>
    Given 24 workers of one service and 6 entries, each with a link of 2 Mbit/s
    When 40 jobs of 8 tasks with 4 KB of specification are submitted within 1 s, and <fault> after 0.5 s
    Then within 15 s all are shown as succeeded
    And other entries forwarded starts
    And no task ran twice at the same time or after its end was acknowledged
    And no orders are in flight

    Examples:
      | fault                                        |
      | a forwarding entry is killed                 |
      | a forwarding entry restarts                  |
      | answers of a forwarding entry are lost       |
      | a forwarding entry reports no outcomes       |
      | the holder is killed                         |
      | the holder loses its lease                   |
      | a forwarding entry can't reach the workers   |
      | a forwarding entry does not know the workers |

  Scenario: A start that doesn't fit into the send window leaves its task waiting
    Given a window of 2 Mbit/s and 0.1 cores and no other entry
    Then of 40 starts with 4 KB of specification at most 8 are in flight
    And another start is sent once one of them was answered and the link has sent them

  Scenario: Hosts that are reserved for a forecast burst go to work that waits
    Given a planner for hosts of 16 cores that forecasts a burst of pool "a"
    And all hosts idle in pool "a"
    When work for 3 hosts waits in pool "b"
    Then 3 hosts move from pool "a" to pool "b"

  Scenario: Orders of a holder that ends before they are sent leave the window
    Given a window of 2 Mbit/s and 0.1 cores and no other entry
    When a holder ends with 3 starts that were chosen and not sent
    Then the window is empty

  Scenario: A start is forwarded by another entry once the first choice has reached its limit
    Given a window of 2 Mbit/s and 0.1 cores and 3 other entries
    When starts of 100 bytes for one worker are chosen until the window is full
    Then each of the other entries forwards 16 of them

  Scenario: The specification of a job is sent to one entry of a zone
    Given a window of 2 Mbit/s and 0.1 cores and 3 other entries
    When starts of one job with 4 KB of specification are chosen for 9 workers
    Then one other entry gets it and forwards the starts that it has room for

  Scenario Outline: Work that waits for the send window while <hosts> asks for <waiting> hosts
    Given a service with waiting work for 3 hosts and workers of which <hosts>
    When its starts wait for the send window
    Then it asks for <waiting> more hosts

    Examples:
      | hosts     | waiting |
      | one idles | 0       |
      | all work  | 3       |

  Scenario Outline: While the table doesn't answer for one service its jobs are refused at once as not run
    Given 3 entries and 4 workers of one service
    When the table stops answering for the service
    And after <after> s a job is submitted at every entry
    Then each is refused as "table-unavailable" within 0.1 s
    When the table answers again
    Then within 4 s a job that is submitted is done

    Examples:
      | after |
      | 2.5   |
      | 5     |

  Scenario Outline: A job refused while the table doesn't answer is accepted as its caller comes back in time
    Given 3 entries and 4 workers of one service
    When the table stops answering for the service
    And after 2.5 s callers with a time limit of <limit> s submit jobs and come back as told
    And the table answers again after <outage> s
    Then all their jobs are accepted within their time limit

    Examples:
      | limit | outage |
      | 3     | 1.5    |
      | 12    | 6      |

  Scenario Outline: Scheduling passes leave most of the processor to orders and polls
    Then after a scheduling pass of <took> ms the holder waits <gap> ms

    Examples:
      | took | gap |
      | 0.5  | 8   |
      | 10   | 30  |
      | 200  | 100 |
