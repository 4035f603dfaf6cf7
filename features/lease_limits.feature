Feature: A run counts as ended while a lease may let it go on
  A worker grants 6.0 s at most, by a clock that may be 2% slow, from when it carries a call out.
  A call arrives within 12 s, or never, and perhaps at a later incarnation.

  Scenario Outline: A start that arrives late at a silent worker runs there and elsewhere
    Given a worker that is known throughout
    When it gets the start of a plain task, without an answer
    And the last call that asks for a lease is a <call> sent <after> s later
    And the worker falls silent
    Then the run is released 13 s and the longest lease after that call, and not before

    Examples:
      | call                  | after |
      | start                 | 0     |
      | poll                  | 0.05  |
      | poll                  | 2.0   |
      | start of another task | 1.5   |

  Scenario Outline: A run that its worker confirmed waits longer than the lease that was asked for
    Given a worker that is known throughout
    When it gets the start of a <shape> task, with <confirmation>
    And the last call that asks for a lease is a <call> sent <after> s later
    And the worker falls silent
    Then the run is released <limit> s after the start, and not before

    Examples: The last poll asked for 5.0 s, or 5.202 s by a slow clock
      | shape        | confirmation | call                  | after | limit |
      | plain        | an answer    | poll                  | 2.0   | 7.202 |
      | plain        | a report     | poll                  | 2.0   | 7.202 |
      | long-running | an answer    | poll                  | 2.0   | 7.202 |
      | speculative  | a report     | poll                  | 2.0   | 7.202 |

    Examples: The last poll was sent 0.1 s before the start
      | shape        | confirmation | call                  | after | limit |
      | plain        | an answer    | start                 | 0     | 5.102 |
      | plain        | an answer    | start of another task | 1.5   | 5.102 |

  Scenario Outline: A long-running task's start that a later incarnation carries out runs elsewhere too
    Given a worker that is known throughout
    When it gets the start of a long-running task, without an answer
    And the last call that asks for a lease is a <call> sent <after> s later
    And the worker falls silent
    And calls to it <fail>
    Then the run is released <delay> s and the longest lease after that call, and not before

    Examples:
      | call  | after | fail                           | delay |
      | start | 0     | get no answer                  | 13    |
      | poll  | 2.0   | get no answer                  | 13    |
      | start | 0     | are refused, as nobody listens | 0.5   |
      | poll  | 2.0   | are refused, as nobody listens | 0.5   |

  Scenario: A plain task's start that a later incarnation carries out runs elsewhere too
    Given a worker that is known throughout
    When it gets the start of a plain task, without an answer
    And the worker falls silent
    And calls to it are refused, as nobody listens
    Then the run is released 13 s and the longest lease after that call, and not before

  Scenario: A task runs at a new holder's worker and where the former holder started it
    Given workers that grant 6 s at most by a clock that may be 2% slow
    Then a new holder waits for the longest lease of a call that is carried out 0.5 s late

  Scenario Outline: A speculative task waits for more than the lease
    Given a worker that is known throughout
    When it gets the start of a speculative task, without an answer
    And the last call that asks for a lease is a <call> sent <after> s later
    And the worker falls silent
    Then the run is released <limit> s after the start, and not before

    Examples:
      | call  | after | limit |
      | start | 0     | 5.102 |
      | poll  | 2.0   | 7.202 |

  Scenario Outline: A lease of a worker that has just reported outlasts the lease that was asked for
    Given a worker whose first report has just come
    When it gets the start of a plain task, with an answer
    And the last call that asks for a lease is a <call> sent <after> s later
    And the worker falls silent
    Then the run is released <limit> s after the first report, and not before

    Examples: The start is sent 0.05 s after the report
      | call                  | after | limit |
      | start                 | 0     | 6.222 |
      | poll                  | 0.5   | 6.222 |
      | start of another task | 1.5   | 6.222 |
      | poll                  | 2.0   | 7.252 |

  Scenario Outline: A restart shortens the wait for a start without an answer
    Given a worker that is known throughout
    When it gets the start of a plain task, without an answer
    And the last call that asks for a lease is a <call> sent <after> s later
    And the worker falls silent
    And restarts show <restarts> s after the start
    Then the run is released 13 s and the longest lease after that call, and not before

    Examples: The lease ends 5.1 s after the start, or 6.2 s with the poll
      | call  | after | restarts      |
      | start | 0     | 2             |
      | start | 0     | 7             |
      | start | 0     | 16            |
      | start | 0     | 2, 3          |
      | start | 0     | 2, 7          |
      | start | 0     | 7, 12         |
      | poll  | 1.0   | 2             |
      | poll  | 1.0   | 7             |
      | poll  | 1.0   | 2, 7          |

  Scenario Outline: A new holder starts a task before the wait that it was told is over
    Given a new holder that is told to wait for <wait> s, as <what> an earlier holder used
    Then a task that may run is kept for <wait> s, and not longer

    Examples:
      | wait | what                     |
      | 5.85 | a listed worker is what  |
      | 6.72 | a listed worker is what  |
      | 6.72 | an unlisted worker is what |
      | 6.72 | nobody knows what        |
      | 9.5  | nobody knows what        |

  Scenario: A new holder releases what it adopted before the wait that it was told is over
    Given a new holder that is told to wait for 9.5 s, as a listed worker is what an earlier holder used
    When the worker reports the run 0.5 s later, and falls silent
    Then the run is released 9.5 s after the takeover, and not before

  Scenario Outline: The answer of a worker whose lease has expired doesn't settle its start
    Given a worker that is known throughout
    When it gets the start of a plain task, without an answer
    And the worker falls silent
    And it answers 10 s after the start with a report that <lists> the run
    Then the run is <phase> at once

    Examples:
      | lists     | phase   |
      | has       | running |
      | has ended | done    |
      | lacks     | waiting |

  Scenario Outline: Later leases of a worker whose lease had expired are accounted in another way
    Given a worker that is known throughout
    When it gets the start of a plain task, without an answer
    And the worker falls silent
    And it answers 10 s after the start with a report that has the run
    And the last call that asks for a lease is a <call> sent <after> s later
    And the worker falls silent
    Then the run is released <limit> s after the start, and not before

    Examples: A poll after 13 s lets it go on for longer than the report after 10 s may
      | call | after | limit  |
      | poll | 0.5   | 16.222 |
      | poll | 3.0   | 18.202 |

  Scenario Outline: Another start at a worker whose lease had expired is accounted in another way
    Given a worker that is known throughout
    When it gets the start of a plain task, without an answer
    And the worker falls silent
    And it answers 10 s after the start with a report that lacks the run
    And it gets the start of the task again, <answer>
    And the worker falls silent
    Then the run is released <limit> s after the first start, and not before

    Examples: The start is sent 10.1 s after the first one
      | answer            | limit  |
      | with an answer    | 16.222 |
      | without an answer | 29.322 |

  Scenario Outline: A run that outlasts its lease goes unnoticed
    Given a worker that is known throughout, beside another one
    When it gets the start of a <shape> task, <answer>
    And the worker falls silent until the task runs elsewhere
    And it answers with a report that <lists> the run
    Then "<noted>" is noted
    And "<silent>" isn't noted

    Examples:
      | shape | answer            | lists     | noted                    | silent                   |
      | plain | with an answer    | has       | run outlasted its lease  | released run had begun   |
      | plain | without an answer | has       | run outlasted its lease  | released run had begun   |
      | plain | with an answer    | has ended | released run had begun   | run outlasted its lease  |
      | plain | without an answer | has ended | released run had begun   | run outlasted its lease  |
      | long-running | with an answer | has   | run outlasted its lease  | released run had begun   |
      | long-running | without an answer | has ended | released run had begun | run outlasted its lease |

  Scenario Outline: A speculative task that runs twice is noted as a fault
    Given a worker that is known throughout, beside another one
    When it gets the start of a speculative task, <answer>
    And the worker falls silent until the task runs elsewhere
    And it answers with a report that <lists> the run
    Then "run outlasted its lease" isn't noted
    And "released run had begun" isn't noted

    Examples:
      | answer            | lists     |
      | with an answer    | has       |
      | without an answer | has       |
      | with an answer    | has ended |
      | without an answer | has ended |

  Scenario: A report that lacks a released run is noted as a fault
    Given a worker that is known throughout, beside another one
    When it gets the start of a plain task, without an answer
    And the worker falls silent until the task runs elsewhere
    And it answers with a report that lacks the run
    Then "run outlasted its lease" isn't noted
    And "released run had begun" isn't noted
