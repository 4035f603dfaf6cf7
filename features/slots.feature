Feature: Entries share the slots and connections of each minion

  Scenario Outline: No two processes share a seat under faults: <case>
    Given 7 entries that hold seats
    When these events happen: "<events>"
    Then <seated> running entries have a seat and <slots> of 8 slots at each minion are theirs
    And never more than <most> slots of a minion were assigned at once
    And no two processes with open connections ever had the same seat

    Examples:
      | case                                  | events                                                | seated | slots | most |
      | nothing fails                         | wait 30                                               | 7      | 8     | 8    |
      | an entry is killed                    | kill 0; wait 20                                       | 6      | 8     | 8    |
      | killed and replaced at once           | kill 0; start 7; wait 20                              | 7      | 8     | 8    |
      | a paused entry is replaced            | pause 0; start 7; wait 30                             | 7      | 8     | 8    |
      | a paused entry comes back             | pause 0; start 7; wait 30; resume 0; wait 5           | 8      | 8     | 9    |
      | a zone is paused and replaced         | pause 0; pause 1; pause 2; start 7; start 8; start 9; wait 60 | 7 | 8   | 8    |
      | more are paused than seats allow      | pause 0; pause 1; pause 2; pause 3; start 7; start 8; start 9; start 10; wait 60 | 6 | 8 | 8    |
      | a paused one ends and frees its seat  | pause 0; pause 1; pause 2; pause 3; start 7; start 8; start 9; start 10; wait 30; kill 0; wait 30 | 7 | 8 | 8    |
      | the table is down for long            | table down; wait 1200                                 | 7      | 8     | 8    |
      | killed while the table is down        | table down; kill 0; wait 60                           | 6      | 6-7   | 8    |
      | new while the table is down           | table down; kill 0; start 7; wait 60                  | 6      | 6-7   | 8    |
      | new while the table is down, then up  | table down; kill 0; start 7; wait 60; table up; wait 20 | 7    | 8     | 8    |
      | cut off from the table alone          | cut 0; wait 60                                        | 7      | 8     | 8    |
      | cut off from table and peers          | cut 0; isolate 0; wait 60                             | 7      | 9-10  | 10   |
      | cut off for so long that it gives up  | cut 0; isolate 0; wait 1000                           | 6      | 8     | 10   |
      | answers of the table are lost         | lose; kill 0; start 7; wait 20                        | 7      | 8     | 8    |

  Scenario Outline: Unused slots are lent, and come back: <case>
    Given 3 entries that lend one another the slots of 4 minions
    When entry 0 gets 1200 requests of 50 ms in 2 s while <fault>
    Then never more than 8 requests ran at one minion
    And entry 0 ran <more> than its own share at once
    And after 6 s each entry has its own share back

    Examples:
      | case                      | fault                       | more |
      | nothing fails             | nothing fails               | more |
      | loans are lost            | every "SlotsLent" is lost   | not more |
      | returns are lost          | every "SlotsReturned" is lost | more |
      | loans are too late        | every "SlotsLent" is late   | not more |
      | the borrower dies         | entry 0 dies                | more |
      | the lenders die           | the others die              | more |

  Scenario: Shares of all held seats add up to all slots
    Then shares add up for 1 to 10 seats and 1 to 16 slots

  Scenario: No more connections to a minion than the seat allows
    Given a minion that counts its connections
    When 30 requests ask for connections under a limit of 5
    Then the minion had at most 5 connections at once and 25 requests were refused as not run
    And all connections of all seats stay within 60

  Scenario Outline: A <fault> minion is set apart and let back by evidence
    Given 6 minions of one service
    When 1 of them is <fault> for 20 s under 400 requests/s
    Then under <part> of all requests went there while it was <fault>
    And it gets its share again within 30 s

    Examples:
      | fault    | part |
      | refusing | 0.02 |
      | failing  | 0.02 |
      | slow     | 0.04 |

  Scenario: Never more than a third of a service's minions are set apart
    Given 6 minions of one service
    When 5 of them are failing for 5 s under 400 requests/s
    Then at most 2 minions were ejected

  Scenario: Only an idempotent request probes a minion that was set apart
    Given 6 minions of one service
    When a minion was ejected
    Then the next 50 non-idempotent requests after its back-off go elsewhere
    And one idempotent request goes there at a time
    And each failed probe doubles the back-off up to 60 s

  Scenario: The own zone is preferred but never far fuller than the others
    Given 8 minions of which 2 are in the local zone
    When requests fill the minions one by one
    Then the first requests go to the local zone
    And the local zone is never ahead of the fullest other by more than half its slots and one
