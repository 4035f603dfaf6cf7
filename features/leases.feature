Feature: Leases of pools fence all transactions of their holders

  Scenario Outline: A <fault> at each step of <entry> violates no invariant
    Given two pools of 4 workers and two entries that move one worker and maintain another
    When a "<fault>" is tried at each call of "<entry>"
    Then every run ended with the worker moved, the other maintained and all leases held
    And no worker served in a pool other than its row's at any step
    And every step was taken once by the holder of the lease
    And every budget held at every step

    Examples:
      | fault            | entry   |
      | pause before     | entry-0 |
      | pause before     | entry-1 |
      | pause after      | entry-0 |
      | pause after      | entry-1 |
      | lost answer      | entry-0 |
      | lost answer      | entry-1 |
      | outage           | entry-0 |
      | outage           | entry-1 |
      | death            | entry-0 |
      | death            | entry-1 |
      | doubled call     | entry-0 |
      | doubled call     | entry-1 |

  Scenario Outline: Faults at random calls of all entries harm nothing
    Given two pools of 4 workers and two entries that move one worker and maintain another
    When <runs> runs meet a random fault at <percent> % of the calls of three entries
    Then every run ended with the worker moved, the other maintained and all leases held
    And no worker served in a pool other than its row's at any step
    And every step was taken once by the holder of the lease
    And every budget held at every step

    Examples:
      | runs | percent |
      | 25   | 2       |
      | 25   | 10      |

  Scenario: A lease is taken over only after its row was unchanged for the whole lease duration
    Given an entry that saw a lease of 10 s at second 0
    Then it may not take it at second 9.9
    When the lease's row changes at second 9.9
    Then it may not take it at second 19.8
    And it may take it at second 25

  Scenario Outline: Leases spread evenly over the entries
    Given <pools> pools and <entries> entries that start together
    When those entries run for 60 s
    Then each pool has one holder and no entry holds more than <share>

    Examples:
      | pools | entries | share |
      | 5     | 6       | 1     |
      | 5     | 2       | 3     |
      | 50    | 7       | 8     |

  Scenario: The rows of workers are read again only after a change under the lease of another entry
    Given 4 pools of 5 workers and 2 entries that have settled
    When nothing changes for 60 s, and then all workers of pool "p0" are taken back, one each 6 s
    Then no entry read the rows of workers more than 3 times in the quiet time
    And its holder then read the rows of workers at most 2 times and the other at least 5 times

  Scenario: Entries as processes hold leases, take them over from a paused one and maintain a worker
    Given two entry processes over two pools of 2 workers with leases of 1.5 s
    Then both leases are held and the 4 workers are enrolled
    When the holder of pool "a" is paused until the other entry took its lease
    Then the paused holder wakes up and the other one keeps the lease
    When a worker of pool "a" becomes due for maintenance
    Then it is drained, started again and counted as maintained
    And its holder explains the drain and shows its pools and budgets
