Feature: An entry that resumes after a pause sends nothing under a lease that expired meanwhile

  Scenario Outline: A holder is paused between the choice of <orders> and their sending
    Given 1 entries and 4 workers of one service
    And its tasks take 30 s
    And the holder's calls to workers are recorded with the age of its lease
    When the holder is paused for <pause> s after it chose <orders>
    Then for 2 s no call to a worker is sent while the lease is older than 2.2 s
    And within 12 s each of its 8 tasks runs

    Examples:
      | orders | pause |
      | starts | 2.4   |
      | starts | 4     |
      | stops  | 2.4   |
      | stops  | 4     |
