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
