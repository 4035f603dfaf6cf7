Feature: Tasks are moved from workers that drain, are slow, or are needed for more urgent work

  Scenario: A checkpointing task is moved from a draining worker before the worker ends
    Given 2 entries and 3 workers of one service
    And its tasks take 8 s
    When a job of 2 checkpointing tasks is submitted
    And after 2 s the worker of a task drains, and ends after 4 s
    Then within 7 s it is shown as succeeded at every entry
    And no task ran twice at the same time or after its end was acknowledged

  Scenario: A task that ends in time stays at a draining worker
    Given 2 entries and 3 workers of one service
    And its tasks take 2 s
    When a job of 2 checkpointing tasks is submitted
    And after 1 s the worker of a task drains, and ends after 4 s
    Then within 3 s it is shown as succeeded at every entry
    And every task ran once

  Scenario: Long-running tasks are moved from a draining worker within their disruption budget
    Given 2 entries and 5 workers of one service
    And a job of 4 long-running tasks, of which 1 may be unavailable
    When the worker of a long-running task drains, and ends after 5 s
    Then within 4.5 s no task runs at it and 4 long-running tasks are available
    And at most 1 of the long-running tasks was ever unavailable

  Scenario: Checkpointing tasks are preempted by more urgent work, and resume from their checkpoints
    Given 2 entries and 2 workers of one service
    And a queue of priority 1 whose tasks fill all workers for 5 s and write checkpoints
    When a job of priority 0 for half a worker is submitted
    Then within 1.5 s the urgent job is shown as succeeded
    And within 7 s all less urgent jobs are shown as succeeded
    And no task ran twice at the same time or after its end was acknowledged

  Scenario: Tasks without checkpoints are not preempted by more urgent work
    Given 2 entries and 2 workers of one service
    And a queue of priority 1 whose tasks fill all workers for 5 s and write none
    When a job of priority 0 for half a worker is submitted
    Then within 7 s the urgent job is shown as succeeded
    And every task ran once

  Scenario: A task of a speculative step gets a second run if its worker is slow
    Given 2 entries and 4 workers of one service
    And one of the workers is 20 times slower
    When a job of 4 speculative tasks, one a worker, is submitted
    Then within 3 s it is shown as succeeded at every entry
    And one task was started twice and the others once
    And within 2 s nothing of it runs

  Scenario: Tasks of other steps never get a second run
    Given 2 entries and 4 workers of one service
    And one of the workers is 4 times slower
    When a job of 4 tasks, one a worker, is submitted
    Then within 4 s it is shown as succeeded at every entry
    And every task ran once
