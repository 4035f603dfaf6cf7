Feature: A row of a service counts as stored only once it is
  Hosts are moved and workers get starts only after a row that says so is stored, as the next holder
  relies on it.

  Scenario: A row counts as stored as a transaction without it is
    Given a writer whose transactions wait for their answers
    When row "other" is written and sent
    And row "hosts" is written twice before it is sent
    And the transaction is stored
    Then none of the calls has returned
    When the next transaction is stored
    Then both calls have returned and the table has the second value

  Scenario: A row counts as stored as its transaction was refused and a newer one waits
    Given a writer whose transactions wait for their answers
    When rows "other" and "hosts" are written and sent
    And row "hosts" is written again
    And the transaction is refused
    And the next transaction is stored
    Then none of the calls has returned
    When the next transaction is stored
    Then both calls have returned and the table has the second value

  Scenario: A stored row counts as refused as an older one of its key was
    Given a writer whose transactions wait for their answers
    When row "hosts" is written and sent
    And row "hosts" is written again
    And the transaction is refused
    And the next transaction is stored
    Then both calls have returned and the table has the second value

  Scenario: A refused row counts as stored
    Given a writer whose transactions wait for their answers
    When row "hosts" is written and sent
    And the transaction is refused
    Then the call raises TableRefused

  Scenario: A call waits forever for a row whose writer has ended
    Given a writer whose transactions wait for their answers
    When row "hosts" is written and sent
    And row "hosts" is written again
    And the writer ends
    And row "hosts" is written again
    Then each call raises TableAnswerLost

  Scenario: A call to clear a host never returns as its holder has ended
    Given 1 entries and 3 workers of one service
    And its hosts stay in its pool
    When the entry is cut off from the table
    And one of its idle hosts is to be cleared
    And the entry is killed after 0.3 s
    Then the host is not given away

  Scenario: A host is given away before the row without it is stored
    Given 1 entries and 3 workers of one service
    And its hosts stay in its pool
    When the entry is cut off from the table
    Then 2 tries to clear an idle host within 0.3 s give no answer
    When the entry reaches the table again
    Then a try to clear an idle host within 0.6 s gives "done" and its worker is not stored as used

  Scenario: A new worker gets no starts as the call that stored it was cancelled
    Given 1 entries and 3 workers of one service
    And its hosts stay in its pool
    And its tasks take 2 s
    When the entry is cut off from the table
    And a host joins the service
    Then 1 tries to clear an idle host within 0.6 s give no answer
    When the entry reaches the table again
    And a job of steps "48" is submitted at entry 0
    Then within 1 s tasks run at the new host
