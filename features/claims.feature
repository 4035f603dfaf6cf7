Feature: A request with an idempotency key runs at most once, and repeats get its answer

  Scenario Outline: Faults of the table at each step of a claim
    Given two claimants on a table with the commit faults "<faults>"
    When one claims a key for a request that is <end>, and the other repeats it
    Then the claims ended as "<first>" and "<repeat>"
    And no keyed request ran twice

    Examples: The claim itself
      | faults                                         | end      | first             | repeat        |
      | fine                                           | answered | ran               | answer        |
      | slow                                           | answered | ran               | answer        |
      | doubled                                        | answered | ran               | answer        |
      | down                                           | answered | table-unavailable | ran           |
      | lost after the write                           | answered | ran               | answer        |
      | lost without the write                         | answered | ran               | answer        |
      | lost after the write; lost after the write     | answered | table-unavailable | ran           |
      | lost without the write; lost without the write | answered | table-unavailable | ran           |
      | lost, written late; lost, written late         | answered | table-unavailable | ran           |
      | lost after the write; down                     | answered | ran               | answer        |

    Examples: The settlement
      | faults                             | end      | first | repeat        |
      | fine; down                         | answered | ran   | answer        |
      | fine; slow                         | answered | ran   | answer        |
      | fine; doubled                      | answered | ran   | answer        |
      | fine; lost after the write; down   | answered | ran   | answer        |
      | fine; lost without the write; down | answered | ran   | answer        |
      | fine; lost, written late           | answered | ran   | answer        |
      | fine                               | large    | ran   | answer        |
      | fine; fine; lost after the write   | cut      | ran   | key-unsettled |

    Examples: The release
      | faults                       | end     | first   | repeat |
      | fine                         | refused | refused | ran    |
      | fine; down                   | refused | refused | ran    |
      | fine; lost after the write   | refused | refused | ran    |
      | fine; lost without the write | refused | refused | ran    |
      | fine; doubled                | refused | refused | ran    |
      | doubled; lost, written late  | refused | refused | ran    |

    Examples: A holder that vanished, and another body
      | faults | end       | first | repeat        |
      | fine   | forgotten | ran   | key-unsettled |
      | fine   | reused    | ran   | key-reused    |
      | fine   | garbled   | ran   | key-unsettled |

  Scenario: Entries that race with one key send it once
    Given 3 claimants on a table
    When they claim the same keys in 60 rounds of faults and cancelled callers
    Then no keyed request ran twice

  Scenario: A conflict on one row doesn't fail the claims that were committed with it
    Given 2 claimants on a table
    When 100 keys are claimed together with one that another entry holds
    Then all but that one were claimed, in at most 2 commits
    And all of those were settled

  Scenario: Entries under load stay together within the table's rate of writes
    Given 7 claimants on a table
    When 140 callers claim and settle one key after another for 5 s
    Then the table received at most 300 commits a second for 1000 claims a second
    And no keyed request ran twice

  Scenario: Keyed work is refused at once while the table is down
    Given 2 claimants on a table
    When the table goes down and 50 keys are claimed one after another
    Then all were refused "table-unavailable" within 0.3 s, with a time to retry
    And once the table is back a key can be claimed after that time

  Scenario: A stale read never lets a repeat run
    Given 2 claimants on a table
    When a repeat waits on a table whose reads are stale
    Then no keyed request ran twice

  Scenario: Claims expire, unsettled ones later, and never one that was claimed anew
    Given 2 claimants on a table
    When 40 settled and 2 unsettled claims age
    Then after a day only the unsettled ones are left
    And after a month none is left

  Scenario: A released key that is claimed anew while it is swept stays
    Given 2 claimants on a table
    When a key is claimed again between the sweeper's read and its commit
    Then the new claim is still in the table

  Scenario Outline: An entry is <fault> at each step of a keyed request
    Given 2 entries and 3 minions on simulated hosts
    When "entry-0" is <fault> as <step>, and the caller repeats its key at "entry-1"
    Then the repeat ended as "<repeat>"
    And no keyed token ran twice

    Examples:
      | fault  | step                       | repeat  |
      | killed | its claim is lost          | whole   |
      | killed | its claim is written       | unknown |
      | killed | its claim is confirmed     | unknown |
      | killed | its request is sent        | unknown |
      | killed | its minion answers         | unknown |
      | killed | its settlement is lost     | unknown |
      | killed | its settlement is written  | whole   |
      | killed | its answer is given        | unknown |
      | frozen | its claim is lost          | whole   |
      | frozen | its claim is written       | unknown |
      | frozen | its claim is confirmed     | unknown |
      | frozen | its request is sent        | unknown |
      | frozen | its minion answers         | unknown |
      | frozen | its settlement is lost     | unknown |
      | frozen | its settlement is written  | whole   |

  Scenario: Without the table, keyed work is refused and the rest goes on
    Given 2 entries and 3 minions on simulated hosts
    When the faked platform goes down
    Then a keyed POST is refused "table-unavailable" and an unkeyed POST and a GET are whole
