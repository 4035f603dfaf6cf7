Feature: Ended jobs are kept for the retention period and then deleted

  Scenario: An ended job is shown for the retention period, and then its rows and memory are freed
    Given 2 entries and 4 workers of one service
    And ended jobs are kept for 60 s
    When 40 jobs of one task are submitted together
    Then within 10 s all are shown as succeeded
    And after 50 s all are still shown as succeeded
    And after 30 s more none is known, and no row or memory of them is left

  Scenario: Ended jobs do not accumulate under continuous load
    Given 2 entries and 4 workers of one service
    And ended jobs are kept for 20 s
    When a job is submitted every 0.2 s for 120 s
    Then at no time more than 200 jobs were in memory

  Scenario: A job that ended is kept across a takeover
    Given 2 entries and 4 workers of one service
    And ended jobs are kept for 60 s
    When 10 jobs of one task are submitted together
    Then within 10 s all are shown as succeeded
    When the holder is killed
    Then after 30 s all are still shown as succeeded

  Scenario: A job under the id of a forgotten one is shown as succeeded and never runs
    Given 2 entries and 4 workers of one service
    And ended jobs are kept for 20 s
    When a job of steps "1" is submitted at entry 0
    Then within 4 s it is shown as succeeded at every entry
    When its rows are deleted after 97 others, and the holder is killed as its own is deleted
    And it is submitted again at the entry that is left
    Then within 10 s its task has started 2 times
    And within 2 s it is shown as succeeded at every entry

  Scenario: A job runs without its row as its id was handed in again while its rows are deleted
    Given 2 entries and 4 workers of one service
    And ended jobs are kept for 20 s
    When a job of steps "1" is submitted at entry 0
    Then within 4 s it is shown as succeeded at every entry
    When transactions take 0.3 s and it is submitted again as its rows are about to be deleted
    Then it doesn't run, or its row is stored
