Feature: A worker that starts again under its id runs no task twice
  What was sent to the former incarnation may reach the later one, which knows nothing of before.

  Scenario Outline: Starts queued for a former incarnation run at the later one and elsewhere
    Given 1 entries and 8 workers of one service
    And its tasks take 8 s
    And a worker that crashed is back under its id
    When 10 jobs of 6 tasks come and the busiest worker is cut off after <starts> starts
    And it starts again behind the cut after <down> s and is reachable after <cut> s
    Then within 60 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | starts | down | cut |
      | 1      | 0.3  | 1.5 |
      | 6      | 0.3  | 1.5 |
      | 12     | 0.6  | 2.1 |
      | 24     | 0.0  | 3.0 |

  Scenario Outline: A start that may be at a later incarnation counts as lost with the former one
    Given a worker got the start of a task, <confirmed>, and starts again under its id
    When the holder learns of it by <source>
    Then a run in phase <phase> belongs to the later incarnation, with a higher fencing token
    And a late list that still has the former incarnation changes nothing
    When the first report of the later incarnation <lists> the run
    Then its run is <result>
    And its job counts <crashes> crashes

    Examples:
      | confirmed       | source | phase   | lists       | result  | crashes |
      | without answer  | list   | unsure  | has         | running | 0       |
      | without answer  | list   | unsure  | doesn't have| waiting | 0       |
      | without answer  | poll   | unsure  | has         | running | 0       |
      | without answer  | poll   | unsure  | doesn't have| waiting | 0       |
      | with an answer  | list   | waiting | doesn't have| waiting | 1       |
      | with an answer  | poll   | waiting | doesn't have| waiting | 1       |
      | with a report   | poll   | waiting | doesn't have| waiting | 1       |
      | without answer  | list of another address | unsure  | has | running | 0 |
      | with an answer  | list of another address | waiting | doesn't have | waiting | 1 |

  Scenario: A run at a later incarnation that never answers is waited for without an end
    Given a worker got the start of a task, without answer, and starts again under its id
    When the holder learns of it by poll
    And the later incarnation doesn't answer for 17 s
    Then its run is unsure
    When the later incarnation doesn't answer for 2 s
    Then its run is waiting

  Scenario: An end at a later incarnation is forgotten by an acknowledgement of the former one's ends
    Given 1 entries and 1 workers of one service
    When 5 tasks end at its worker, which falls silent for 3 s
    Then no poll after the silence began acknowledges an end before one is answered
    And all ends are acknowledged after it

  Scenario: An end at a later incarnation is forgotten by the poll that a start without an answer requests
    Given 1 entries and 1 workers of one service
    And its tasks take 0.1 s
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it
    When 5 tasks end at its worker, and 5 more are to start while it is cut off
    And it starts again behind the cut after 0.1 s, and is reachable from 0.2 s on for 1.2 s, of which no answer arrives
    And it is cut off for 3 s more
    Then within 90 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

  Scenario: A poll that left before the first missing answer makes a later incarnation forget an end
    Given 1 entries and 1 workers of one service
    And its tasks take 0.2 s
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it, polls 0.5 s after the rest
    When 40 jobs of 1 task come, one every 0.1 s, and the busiest worker is cut off after 3.05 s
    And it starts again behind the cut after 0.6 s, and is reachable from 0.9 s on for 1.2 s, of which no answer arrives
    And it is cut off for 4 s more
    Then within 90 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

  Scenario Outline: Late starts run at later incarnations beside the same tasks elsewhere
    Given 1 entries and 6 workers of one service
    And its tasks take <work> s
    And a worker that crashed is back under its id
    When a worker starts again, and 4 jobs of 6 tasks come whose first <late> starts at each worker are 3 s late
    And <count> of the workers start again <after> s later and can't be reached for 5 s
    Then within 60 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | work | late | count | after |
      | 4    | 2    | 2     | 1.5   |
      | 4    | 3    | 6     | 1.5   |
      | 0.6  | 2    | 2     | 2.5   |
      | 0.6  | 3    | 6     | 2.0   |

  Scenario: A late start runs at the first worker of a service that starts again
    Given 1 entries and 6 workers of one service
    And its tasks take 4 s
    And a worker that crashed is back under its id
    When 4 jobs of 6 tasks come whose first 2 starts at each worker are 3 s late
    And 2 of the workers start again 1.5 s later and can't be reached for 5 s
    Then within 60 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

  Scenario Outline: A later incarnation grants a longer lease than a call for the former one asked for
    Given 1 entries and 8 workers of one service
    And its tasks take 12 s
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it
    When <jobs> jobs of 6 tasks come and the busiest worker is cut off after <starts> starts
    And it starts again behind the cut after 0.1 s, and is reachable from <cut> s on for <open> s, of which no answer arrives
    And it is cut off for 10 s more
    Then within 90 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | jobs | starts | cut | open |
      | 2    | 1      | 0.2 | 0.12 |
      | 2    | 6      | 0.3 | 0.12 |
      | 2    | 1      | 1.5 | 0.12 |
      | 3    | 1      | 2.5 | 0.3  |
      | 2    | 1      | 6.0 | 0.5  |

  Scenario: Starts go on to a worker that fell silent, and each one interrupts the poll that would tell
    Given 1 entries and 2 workers of one service
    And its tasks take 12 s
    And what is sent during a cut arrives after it
    When 10 jobs of 6 tasks come and the busiest worker is cut off after 1 starts
    Then it gets 12 starts more at most, and counts as silent after 2.5 s

  Scenario Outline: A later incarnation that answered for a moment grants a longer lease than is counted
    Given 1 entries and <workers> workers of one service
    And its tasks take 12 s
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it
    When <jobs> jobs of 6 tasks come and the busiest worker is cut off after 1 starts
    And it starts again behind the cut after 0.1 s, and is reachable from 0.2 s on for <open> s
    And it is cut off for 10 s more
    Then within 90 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | workers | jobs | open |
      | 8       | 2    | 0.05 |
      | 8       | 2    | 0.25 |
      | 2       | 10   | 0.25 |
      | 2       | 10   | 0.5  |
      | 2       | 10   | 0.8  |

  Scenario Outline: A later incarnation's lease outlasts the wait of a holder that comes after
    Given <entries> entries and <workers> workers of one service
    And its tasks take 12 s
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it
    When <jobs> jobs of 6 tasks come and the busiest worker is cut off after 1 starts
    And it starts again behind the cut after 0.1 s, and is reachable from <cut> s on for <open> s<of>
    And the holder is killed at that moment
    And it is cut off for 10 s more
    Then within 90 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | entries | workers | jobs | cut | open | of                           |
      | 2       | 8       | 2    | 0.2 | 0.12 | , of which no answer arrives |
      | 3       | 8       | 2    | 0.2 | 0.12 | , of which no answer arrives |
      | 2       | 8       | 2    | 1.5 | 0.12 | , of which no answer arrives |
      | 3       | 8       | 3    | 2.5 | 0.3  | , of which no answer arrives |
      | 2       | 8       | 2    | 0.2 | 0.25 |                              |
      | 3       | 2       | 10   | 0.2 | 0.5  |                              |

  Scenario Outline: A later incarnation carries out a start after its holder has left
    Given 2 entries and 8 workers of one service
    And its tasks take 12 s
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it, polls 0.2 s after the rest
    When 2 jobs of 6 tasks come and the busiest worker is cut off after 1 starts
    And the holder is <ended> <after> s later
    And it starts again behind the cut after 0.1 s, and is reachable from <late> s on for 0.12 s, of which no answer arrives
    And it is cut off for 10 s more
    Then within 90 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | ended                  | after | late |
      | stopped                | 0.2   | 1.0  |
      | stopped                | 0.2   | 2.3  |
      | stopped                | 0.5   | 2.0  |
      | cut off from the table | 0.2   | 2.3  |

  # Callers waited until the lease had expired (dorna-studio-grown trouble-1, seed 11).
  Scenario Outline: A service stands still as its holder, <ended>, leaves starts without an answer
    Given 3 entries and 8 workers of one service
    And its tasks take 12 s
    When 2 jobs of 6 tasks come and the busiest worker is cut off after 1 starts
    And the holder is <ended> 1 s later
    Then another entry holds the service within 1.2 s, and waits 9.12 s for the worker

    Examples:
      | ended                  |
      | stopped                |
      | cut off from the table |

  Scenario: A later incarnation carries out a start seconds after its holder was killed
    Given 2 entries and 8 workers of one service
    And its tasks take 12 s
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it, polls 0.2 s after the rest
    When 2 jobs of 6 tasks come and the busiest worker is cut off after 1 starts
    And the holder is killed at that moment
    And it starts again behind the cut after 0.1 s, and is reachable from 6.0 s on for 0.12 s, of which no answer arrives
    And it is cut off for 10 s more
    Then within 90 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

  Scenario: A later incarnation carries out a start after its holder has started again
    Given 2 entries and 8 workers of one service
    And its tasks take 12 s
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it, polls 0.2 s after the rest
    When 2 jobs of 6 tasks come and the busiest worker is cut off after 1 starts
    And the holder is stopped 0.2 s later, and starts again after 0.1 s
    And it starts again behind the cut after 0.1 s, and is reachable from 2.3 s on for 0.12 s, of which no answer arrives
    And it is cut off for 10 s more
    Then within 90 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

  Scenario: A start that one incarnation has barred is carried out by the next one
    Given 1 entries and 6 workers of one service
    And its tasks take 4 s
    And a worker that crashed is back under its id
    When 4 jobs of 6 tasks come whose first 2 starts at each worker are 3 s late
    And 2 of the workers start again 0.7 s later and can't be reached for 0.2 s
    And they start again 1.0 s later and can't be reached for 5 s
    Then within 60 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

  Scenario Outline: A later incarnation runs long-running tasks that run elsewhere too
    Given 1 entries and 8 workers of one service
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it
    When 2 jobs of 6 long-running tasks come and the busiest worker is cut off after <starts> starts
    And it starts again behind the cut after 0.1 s, and is reachable from 0.2 s on for <open> s<of>
    And it is cut off for 10 s more
    Then after 20 s each of their tasks runs once
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | starts | open | of                           |
      | 1      | 0.12 | , of which no answer arrives |
      | 6      | 0.12 | , of which no answer arrives |
      | 1      | 0.25 |                              |

  Scenario Outline: A later incarnation runs members of a gang that runs elsewhere too
    Given 1 entries and 8 workers of one service
    And its tasks take 12 s
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it
    When 2 jobs of 6 gang tasks come and the busiest worker is cut off after <starts> starts
    And it starts again behind the cut after 0.1 s, and is reachable from <cut> s on for <open> s<of>
    And it is cut off for 10 s more
    Then within 90 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | starts | cut | open | of                           |
      | 1      | 0.2 | 0.12 | , of which no answer arrives |
      | 6      | 1.5 | 0.12 | , of which no answer arrives |
      | 1      | 0.2 | 0.25 |                              |

  Scenario: A call for a former incarnation makes the later one forget ends that nobody has read
    Given 1 entries and 1 workers of one service
    And its tasks take 2 s
    And a worker that crashed is back under its id
    And what is sent during a cut arrives after it
    When 40 jobs of 1 task come, one every 0.3 s, and the busiest worker is cut off after 6.05 s
    And it starts again behind the cut after 0.6 s, and is reachable from 0.9 s on for 0.3 s, of which no answer arrives
    And it is cut off for 4 s more
    Then within 90 s all of them are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

  Scenario Outline: A task starts elsewhere though its start may run at a worker that starts again
    Given 2 workers, of which the other one started again under its id 2 s before
    When a <shape> task is started without an answer, and is not reported after that
    Then it waits for <limit> s
    And then it may start elsewhere

    Examples:
      | shape        | limit |
      | plain        | 12    |
      | long-running | 6.5   |

  Scenario Outline: A task waits for a start without an answer though that may do no harm
    Given 2 workers, of which the other one started again under its id <ago> s before
    When a <shape> task is started without an answer, and is not reported after that
    Then it is stopped after 1 s
    And then it may start elsewhere

    Examples:
      | ago | shape       |
      | 2   | speculative |
      | 31  | plain       |

  Scenario: A worker that starts again by a clock that was set back is never used again
    Given a worker got the start of a task, without answer, and starts again under its id
    When the list has it as born before the former incarnation
    Then the list's incarnation is used, with a higher fencing token

  Scenario Outline: An answer of a later incarnation counts as one of the former
    Given a worker whose clock is read as <offset> s ahead
    Then an answer to a start <after> s later with a clock of <clock> s <is> its own

    Examples:
      | offset | after | clock  | is     |
      | 30     | 10    | 40     | is     |
      | 30     | 10    | 39.9   | is     |
      | 30     | 10    | 39.7   | is not |
      | 30     | 10    | 2      | is not |
      | 30     | 0     | 29.9   | is not |
