Feature: Workers whose capacity changes while they run
  A start never brings a worker over the capacity that it has announced, and new room is used.

  Scenario: Starts go on at a worker that has shrunk as if it had not
    Given 3 entries and 2 workers of one service
    And workers that do not guard their capacity
    And its tasks take 2 s
    When the workers have 4 cores from 4 s on, and 30 jobs of 3 tasks come over 15 s
    Then no start brought a worker over its capacity
    And within 40 s all are shown as succeeded

  Scenario: Workers that grow are used no further than before
    Given 3 entries and 2 workers of one service
    And its tasks take 3 s
    When the workers restart with 2 cores, a job of 32 tasks waits, and they grow to 16 cores
    Then all its tasks run within 3 s of the growth

  Scenario: A run that is being stopped leaves its room to another too early
    Given 3 entries and 1 workers of one service
    And workers that do not guard their capacity
    And its tasks take 60 s
    And each worker leaves the first 40 stops unanswered
    When a job of 16 tasks is cancelled after 2 s, as another of 16 tasks waits
    Then within 30 s the other job has started
    And no start brought a worker over its capacity

  Scenario: Runs of a job that ended before a takeover are not counted against their worker
    Given 3 entries and 1 workers of one service
    And workers that do not guard their capacity
    And its tasks take 60 s
    And each worker leaves the first 40 stops unanswered
    When a job of 16 tasks is cancelled after 2 s, as another of 16 tasks waits
    And the holder is killed
    Then within 40 s the other job has started
    And no start brought a worker over its capacity

  Scenario: A service that changes hands after its workers have shrunk starts too much
    Given 3 entries and 2 workers of one service
    And workers that do not guard their capacity
    And its tasks take 2 s
    When the workers have 4 cores from 4 s on, and 30 jobs of 3 tasks come over 15 s
    And the holder is killed
    Then within 60 s all are shown as succeeded
    And no start brought a worker over its capacity

  Scenario: A shrunk worker has negative room, which counts as room elsewhere
    Given a scheduler with 1 worker of 8 cores that runs 6 tasks
    When its worker announces 2 cores
    Then no task fits there, and its demand counts 6 cores in use

  Scenario: A start that was chosen before its worker shrank is sent afterwards
    Given a scheduler with 1 worker of 8 cores that runs 0 tasks
    When 4 starts are chosen and its worker announces 2 cores before they are sent
    Then only 2 of them may still be sent
