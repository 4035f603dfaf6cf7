Feature: Whole entries run as hosts of a faked network on a paused clock

  Scenario: An entry that ends at once breaks its callers' connections visibly
    Given 2 entries and 3 minions on faked hosts
    When the host "entry-0" is killed while it serves "t1"
    Then the call "t1" ended as "broken"

  Scenario: A frozen entry answers nothing, and serves again once it goes on
    Given 2 entries and 3 minions on faked hosts
    When the host "entry-1" is frozen while it serves "t2"
    Then the call "t2" ended as "silent"
    And a call through "entry-1" as it goes on is refused as "not-run"
    And a later call through "entry-1" is whole
    And no token ran twice

  Scenario: A planned stop cuts off no request in progress
    Given 2 entries and 3 minions on faked hosts
    When the host "entry-0" gets SIGTERM while it serves "t3"
    Then the call "t3" ended as "whole"
    And the entry "entry-0" has ended

  Scenario: The fault matrix holds every cell of its tables
    Then the feature file of the matrix matches its tables

  Scenario Outline: A leaving minion gets no new work after 2 s when <trouble>
    Given 2 entries and 3 minions on faked hosts
    When "minion-0" is listed as leaving when <trouble>
    Then no new work reached "minion-0" later than 2 s after it was listed

    Examples:
      | trouble                                        |
      | nothing else is wrong                          |
      | the table is slow                              |
      | the entries are cut from each other            |
      | they are cut from each other and it is slow    |
