Feature: Work leaves workers that drain, that are slow, or that are wanted for more urgent work

  Scenario: Work that saves its state leaves a worker that drains before its end
    Given 2 entries and 3 workers of one service
    And its tasks take 8 s
    When a job of 2 saving tasks is submitted
    And after 2 s the worker of a task drains, and leaves after 4 s
    Then within 7 s it is shown as succeeded at every entry
    And no task ran twice at a time or after its end was taken note of

  Scenario: Work that ends in time stays at a worker that drains
    Given 2 entries and 3 workers of one service
    And its tasks take 2 s
    When a job of 2 saving tasks is submitted
    And after 1 s the worker of a task drains, and leaves after 4 s
    Then within 3 s it is shown as succeeded at every entry
    And every task ran once

  Scenario: Tasks that last leave a worker that drains, never more at once than may be away
    Given 2 entries and 5 workers of one service
    And a job of 4 long-running tasks, of which 1 may be unavailable
    When the worker of a task that lasts drains, and leaves after 5 s
    Then within 4.5 s no task runs at it and 4 tasks that last are at work
    And at most 1 of the long-running tasks was ever unavailable

  Scenario: Work that saves its state makes room for more urgent work, and goes on from there
    Given 2 entries and 2 workers of one service
    And a queue of priority 1 whose tasks fill all workers for 5 s and save their state
    When a job of priority 0 for half a worker is submitted
    Then within 1.5 s the urgent job is shown as succeeded
    And within 7 s all less urgent jobs are shown as succeeded
    And no task ran twice at a time or after its end was taken note of

  Scenario: Work that saves nothing is not stopped for more urgent work
    Given 2 entries and 2 workers of one service
    And a queue of priority 1 whose tasks fill all workers for 5 s and save nothing
    When a job of priority 0 for half a worker is submitted
    Then within 7 s the urgent job is shown as succeeded
    And every task ran once

  Scenario: A task of a speculative step gets a second run where its worker is slow
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
