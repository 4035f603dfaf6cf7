Feature: A cancellation that was confirmed outlives the holder that learned of it
  Another entry confirms it once a notice to the holder is stored, so the notice is the only trace of
  it until the end of the job is stored.

  Scenario: A job goes on though its cancellation was confirmed, as only its notice was removed
    Given 2 entries and 4 workers of one service
    And its tasks take 20 s
    When a job of steps "1" is submitted at entry 0
    And its cancellation is noted while 97 rows of ended jobs are deleted
    And the holder is killed as soon as the notice is removed, or after 3 s
    Then within 8 s it is shown as cancelled at every entry
    And within 6 s nothing of it runs
    And within 1 s no notice is left

  Scenario: A job runs though it was cancelled while it couldn't be read
    Given 2 entries and 4 workers of one service
    And its tasks take 20 s
    When a job of steps "1" is submitted at entry 0
    And the row of its progress becomes malformed after 1 s
    And the holder is killed
    And it is cancelled after 4 s at the entry that is left
    And the row of its progress is restored and another entry takes over
    Then within 10 s it is shown as cancelled at every entry
    And within 6 s nothing of it runs
