Feature: Drains never take a service below its budget

  Scenario Outline: A drain is <answer> with <failed> failed, <suspect> suspect, <draining> draining
    Given a service of <minions> minions over <racks> racks of <zones> zones that needs <fraction>
    And <failed> failed, <suspect> suspect, <draining> draining, <moved> moved away, <leaving> leaving
    Then a drain is <answer>

    Examples: one more rack lost is always counted
      | minions | racks | zones | fraction | failed | suspect | draining | moved | leaving | answer  |
      | 8       | 8     | 4     | 0.5      | 0      | 0       | 0        | 0     | 0       | granted |
      | 8       | 8     | 4     | 0.5      | 0      | 0       | 2        | 0     | 0       | granted |
      | 8       | 8     | 4     | 0.5      | 0      | 0       | 3        | 0     | 0       | refused |
      | 8       | 8     | 4     | 0.5      | 1      | 1       | 0        | 0     | 0       | granted |
      | 8       | 8     | 4     | 0.5      | 1      | 1       | 1        | 0     | 0       | refused |
      | 8       | 8     | 4     | 0.5      | 0      | 3       | 0        | 0     | 0       | refused |
      | 8       | 8     | 4     | 0.5      | 0      | 0       | 0        | 3     | 0       | refused |
      | 8       | 8     | 4     | 0.5      | 0      | 0       | 0        | 0     | 3       | refused |
      | 8       | 8     | 4     | 0.5      | 0      | 0       | 0        | 1     | 1       | granted |
      | 8       | 2     | 2     | 0.5      | 0      | 0       | 0        | 0     | 0       | refused |
      | 6       | 6     | 3     | 0.66     | 0      | 0       | 0        | 0     | 0       | granted |
      | 6       | 6     | 3     | 0.66     | 0      | 0       | 1        | 0     | 0       | refused |
      | 12      | 12    | 3     | 0.5      | 2      | 0       | 0        | 0     | 0       | granted |

  Scenario: Two racks that fail in one zone count as the whole zone
    Given a service of 12 minions over 12 racks of 3 zones that needs 0.5
    And the minions of 2 racks of one zone failed
    Then a drain is granted
    And the whole zone is counted as unavailable

  Scenario Outline: Two ordered drains in a zone with <more> failed workers leave <available> available
    Given a service of 12 minions over 12 racks of 3 zones that needs 0.5
    And the minions of 4 racks of one zone failed
    And 2 workers of the next zone drain and are listed as not ready, and <more> more of it failed
    Then <available> are counted as available and the drains are <outcome>

    Examples: ordered drains alone are no zone failure, but further failures are counted
      | more | available | outcome     |
      | 0    | 6         | continued   |
      | 1    | 4         | cancelled   |
      | 2    | 4         | cancelled   |

  Scenario: Only one of two concurrent drains on a budget row is committed
    Given a service of 8 minions over 8 racks of 4 zones that needs 0.5
    And 0 failed, 0 suspect, 2 draining, 0 moved away, 0 leaving
    When two drains that were decided on the same rows are committed
    Then one is committed and the other conflicts on the budget row

  Scenario Outline: A wave over a whole zone at second <second> never meets a drain beyond the budget
    Given a pool of 12 workers over 3 zones with a budget of 0.5, all due for maintenance
    When the platform withdraws a zone at second <second> for 30 s
    Then no drain was granted while the budget with a rack lost did not hold
    And all workers were maintained in the end, oldest first

    Examples:
      | second |
      | 0.5    |
      | 2.2    |
      | 3.3    |
      | 5.1    |
      | 9.7    |

  Scenario Outline: A wave at second <second> over the zone that is <rank> in turn breaks no budget
    Given a pool of 12 workers over 3 zones with a budget of 0.5, all due for maintenance
    And the workers of the zone that will be withdrawn are the <rank> maintained
    When the platform withdraws a zone at second <second> for 30 s
    Then no drain was granted while the budget with a rack lost did not hold
    And all workers were maintained in the end, oldest first

    Examples: with two drains of before the wave under way, or none that stays
      | second | rank  |
      | 0.5    | last  |
      | 4.5    | last  |
      | 5.1    | last  |
      | 5.1    | first |

  Scenario Outline: The maintenance forecast says whether all workers are maintained in time
    Given a service of <minions> minions over <racks> racks of <zones> zones that needs <fraction>
    And its workers were maintained <days> days ago, take <duration_h> h each and <at_once> may go at once
    Then the forecast <verdict> the period and names "<reason>"

    Examples:
      | minions | racks | zones | fraction | days | duration_h | at_once | verdict | reason          |
      | 8       | 8     | 4     | 0.5      | 20   | 2          | 1       | meets   | 1 at once       |
      | 8       | 8     | 4     | 0.5      | 20   | 30         | 1       | misses  | 2.0 days over   |
      | 8       | 8     | 4     | 0.5      | 20   | 30         | 4       | meets   | 3 at once       |
      | 8       | 8     | 4     | 0.5      | 30   | 2          | 1       | misses  | days over       |
      | 8       | 2     | 2     | 0.5      | 1    | 2          | 1       | misses  | one more rack   |

  Scenario Outline: A drain is cancelled when withdrawals by the platform violate its budget
    Given a service of 8 minions over 8 racks of 4 zones that needs 0.5
    And <failed> failed, 0 suspect, 1 draining, 0 moved away, 0 leaving
    Then the drain is <outcome>

    Examples:
      | failed | outcome     |
      | 3      | continued   |
      | 4      | cancelled   |

  Scenario: A worker that the platform lists no more is forgotten after an hour
    Given a pool of 12 workers over 3 zones with a budget of 0.5, all due for maintenance
    When the platform stops listing the first worker for 0.9 h and then for 0.2 h more
    Then the first worker's row was kept as withdrawn at first
    And the first worker's row is deleted and charged to no budget

  Scenario Outline: Maintenance selects <selected> next when <ongoing> is in maintenance
    Given workers "<days>" with days since maintenance and <ongoing> in maintenance
    Then maintenance with 2 at once selects "<selected>"

    Examples: longest without maintenance first, then in the failure domain already affected
      | days                                | ongoing | selected |
      | w0:r0:30 w1:r1:40 w2:r0:30          | none    | w1,w0    |
      | w0:r0:30 w1:r1:30 w2:r2:30 w3:r2:30 | w3      | w2       |
      | w0:r0:30 w1:r1:31 w2:r2:30 w3:r2:30 | w3      | w1       |
      | w0:r0:20 w1:r1:5 w2:r2:1            | none    |          |
