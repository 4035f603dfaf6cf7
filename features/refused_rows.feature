Feature: A row that the table refuses stops no other change of its service
  The table refuses rows and transactions beyond its limits, and would refuse them again.

  Scenario: A job that is too large for a row stops the writes of its service
    Given 2 entries and 4 workers of one service
    And the table refuses rows over 65536 bytes and transactions over 1 MB
    When a job of 70000 bytes is submitted at each entry beside 6 others
    Then it is rejected as too large at each entry
    And within 6 s the other jobs are shown as succeeded

  Scenario Outline: A job whose progress is too large for a row stops the writes of its service
    Given 2 entries and 4 workers of one service
    And the table refuses rows over 65536 bytes and transactions over 1 MB
    And its tasks take 2 s
    When the <part> of a running job grow beyond a row beside 6 others
    Then within 8 s the other jobs are shown as succeeded
    And the large job is shown as failed
    And a takeover starts no task of the large job

    Examples:
      | part                 |
      | checkpoints          |
      | finished occurrences |

  Scenario: Jobs whose changes are too large for one transaction stop the writes of their service
    Given 2 entries and 4 workers of one service
    And the table refuses rows over 65536 bytes and transactions over 1 MB
    And its tasks take 2 s
    When 40 running jobs change at once by 30000 bytes each
    Then within 12 s the other jobs are shown as succeeded
    And the table refused no transaction
