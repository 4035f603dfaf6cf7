Feature: A lease that an entry holds in the table is run there
  The table may carry a write out, at once or late, and give no answer to it.

  Scenario Outline: A lease whose acquisition got no answer has no holder for as long as its entry lives
    Given 2 entries and 4 workers of one service
    When the answers to the next <count> acquisitions of "<pool>" are lost and <when> carried out
    And the entry that holds "<pool>" is killed
    Then within <limit> s the entry that is left runs the holder of "<pool>" in the row's epoch
    When a job of steps "2, 2 after 0" is submitted after 1 s
    Then within 12 s it is shown as succeeded at every entry
    And no task ran twice at the same time or after its end was acknowledged

    Examples: When the acquisition is carried out
      | pool   | count | when       | limit |
      | a      | 1     | at once    | 6     |
      | a      | 3     | at once    | 8     |
      | a      | 1     | 1.5 s late | 6     |
      | a      | 2     | 2.5 s late | 8     |
      | a      | 2     | never      | 8     |
      | *fleet | 1     | at once    | 6     |
      | *fleet | 1     | 1.5 s late | 6     |

  Scenario: The first lease of a service whose acquisition got no answer has no holder
    Given 4 workers of one service and an entry whose acquisitions of leases get no answer at first
    When a job of steps "2, 2 after 0" is submitted after 1 s
    Then within 12 s it is shown as succeeded at every entry
    And within 1 s the entry that is left runs the holder of "a" in the row's epoch

  Scenario Outline: A lease whose release <what> has no holder for as long as its entry lives
    Given 1 entries and 4 workers of one service
    When its holder fails and the release of its lease <what>
    Then within 6 s the entry that is left runs the holder of "a" in the row's epoch
    When a job of steps "2, 2 after 0" is submitted after 1 s
    Then within 12 s it is shown as succeeded at every entry
    And no task ran twice at the same time or after its end was acknowledged

    Examples:
      | what                            |
      | gets no answer                  |
      | is never carried out            |
      | is carried out late             |

  Scenario: A lease that is dropped while its row stays has no holder for as long as its entry lives
    Given 1 entries and 4 workers of one service
    When the entry drops the lease of "a"
    Then within 4 s the entry that is left runs the holder of "a" in the row's epoch

  Scenario: The deletion of a lease's row ends the watch of all leases
    Given 2 entries and 4 workers of one service
    When the row of the lease of "a" is deleted
    Then within 6 s the service is held again, and both entries watch the leases
    When a job of steps "2, 2 after 0" is submitted after 1 s
    Then within 12 s it is shown as succeeded at every entry

  Scenario Outline: A lease counts as younger than the write that acquired it
    Given 2 entries and 4 workers of one service
    When the answers to the next <count> acquisitions of "a" are lost and <when> carried out
    And the entry that holds "a" is killed
    Then the age of the next holder's lease counts from before the first write was sent

    Examples:
      | count | when       |
      | 1     | at once    |
      | 3     | 1.5 s late |
