Feature: A row that the table refuses stops no other change of its service
  The table refuses rows and transactions beyond its limits, and would refuse them again.

  Scenario: A job that is too large for a row stops the writes of its service
    Given 2 entries and 4 workers of one service
    And the table refuses rows over 65536 bytes and transactions over 1 MB
    When a job of 70000 bytes is submitted at each entry beside 6 others
    Then it is rejected as too large at each entry
    And within 6 s the other jobs are shown as succeeded

  Scenario Outline: A job fails as its progress is too large for a row
    Given 2 entries and 4 workers of one service
    And the table refuses rows over 65536 bytes and transactions over 1 MB
    And its tasks take 2 s
    When the <part> of a running job grow beyond a row beside 6 others
    Then within 8 s the other jobs are shown as succeeded
    And the large job is shown as running
    And the table refused no transaction
    And a takeover knows the whole progress of the large job

    Examples:
      | part                           |
      | checkpoints                    |
      | finished occurrences           |
      | scattered finished occurrences |
      | failures                       |
      | unresolved runs                |

  Scenario: A wide job fails as all its workers fall silent
    Given 2 entries and 8 workers of one service
    And the table refuses rows over 65536 bytes and transactions over 1 MB
    And its tasks take 9 s
    When a job of 2400 checkpointing tasks runs and all workers fall silent for 2 s
    Then within 60 s it is shown as succeeded at every entry
    And the table refused no transaction
    And no task ran twice at the same time or after its end was acknowledged

  Scenario: A wide job fails, or runs twice, at a takeover after all its workers were silent
    Given 2 entries and 8 workers of one service
    And the table refuses rows over 65536 bytes and transactions over 1 MB
    And its tasks take 9 s
    When a job of 2400 checkpointing tasks runs and all workers fall silent for 2 s
    And the holder is killed
    Then within 60 s it is shown as succeeded at every entry
    And the table refused no transaction
    And no task ran twice at the same time or after its end was acknowledged

  Scenario: A job fails as the table refuses its progress for any reason
    Given 2 entries and 4 workers of one service
    And its tasks take 2 s
    When the table refuses the progress of one job for 5 s beside 6 others
    Then within 12 s the other jobs are shown as succeeded
    And within 12 s it is shown as succeeded at every entry
    And no task ran twice at the same time or after its end was acknowledged

  Scenario: Progress that is stored in rows is lost or changed
    Then any progress is read back from its rows as it was, whatever their size
    And a reader of any part of the changes finds no end of a task undone

  Scenario: Jobs whose changes are too large for one transaction stop the writes of their service
    Given 2 entries and 4 workers of one service
    And the table refuses rows over 65536 bytes and transactions over 1 MB
    And its tasks take 2 s
    When 40 running jobs change at once by 30000 bytes each
    Then within 12 s the other jobs are shown as succeeded
    And the table refused no transaction
