Feature: An excluded minion gets no new work

  Scenario Outline: Each cause excludes a minion at once, and lasts until it is disproved
    Given the target state of entry "e1" with 3 listed minions
    When the target events come: <events>
    Then the minion "m0" is <state>
    And the causes sent to peers for "m0" are "<spread>"

    Examples:
      | events                                                        | state  | spread        |
      | none                                                          | open   |               |
      | list leaving                                                  | closed | listed        |
      | list leaving, list leaving                                    | closed | listed        |
      | list leaving, probe ok, probe ok, probe ok                    | closed | listed        |
      | list leaving, list live                                       | closed | listed        |
      | list leaving, list live, probe ok                             | closed | listed        |
      | list leaving, list live, probe ok, probe ok                   | open   | listed        |
      | list leaving, stale list live, probe ok, probe ok             | closed | listed        |
      | list live, stale list leaving                                 | open   |               |
      | probe 503                                                     | closed | shutting-down |
      | probe 503, list live                                          | closed | shutting-down |
      | probe 503, probe ok, probe failed, probe ok                   | closed | shutting-down,failed |
      | probe 503, probe ok, probe ok                                 | open   | shutting-down |
      | refused                                                       | closed | failed        |
      | refused, refused, probe failed                                | closed | failed        |
      | refused, old probe ok, old probe ok                           | closed | failed        |
      | refused, probe ok, probe ok                                   | open   | failed        |
      | peer says listed                                              | closed |               |
      | peer says listed, probe ok, probe ok                          | closed |               |
      | peer says listed, list leaving, list live, probe ok, probe ok | open   |               |
      | list leaving, list live, probe ok, probe ok, peer repeats old | open   | listed        |
      | peer says shutting-down                                       | closed |               |
      | peer says failed                                              | closed |               |
      | peer says failed, peer says recovered                         | closed |               |
      | peer says failed, probe ok, probe ok                          | open   |               |
      | list gone                                                     | gone   |               |
      | list gone, list live                                          | open   |               |

  Scenario: An exclusion that arrives before the list is kept for the minion
    Given the target state of entry "e1" with 0 listed minions
    When the target events come: peer says shutting-down, list live
    Then the minion "m0" is closed

  Scenario: One isolated peer does not exclude all minions of a service
    Given the target state of entry "e1" with 3 listed minions
    When a peer reports all of them as failed
    Then at least 1 of the minions is open
    And all of them are due for a probe

  Scenario Outline: Probes are divided among the live entries at a limited rate
    Given <entries> entries that know <minions> minions
    When each has probed for 60 seconds with <dead> entry dead
    Then each minion was probed at least once
    And no entry sent more than 10 probes a second

    Examples:
      | entries | minions | dead |
      | 1       | 1       | 0    |
      | 3       | 40      | 0    |
      | 7       | 40      | 1    |
      | 7       | 3500    | 0    |

  Scenario: Suspected minions are probed soon while routine probes are late
    Given 1 entries that know 3500 minions
    When each has probed for 20 seconds with 0 entry dead
    And 40 minions are suspected
    Then all of them were probed within 8 s, and routine probes went on

  Scenario: Probes of a failed zone leave capacity for routine probes
    Given 1 entries that know 3500 minions
    When 450 minions refuse all connections for 20 s
    Then at least 40 probes went to others, and at least 100 to those

  Scenario Outline: A minion listed as leaving gets no new work within 2 s without any peer
    Given a fleet list that answers after <delay> s with its state at the <point>
    When a minion is listed as leaving at random times between polls
    Then every one is closed within <limit> s

    Examples:
      | delay | point | limit |
      | 0.0   | start | 0.6   |
      | 0.4   | end   | 1.0   |
      | 1.0   | start | 1.7   |
      | 1.0   | end   | 1.7   |

  Scenario: An outage of the fleet list doesn't change the known minions
    Given a fleet list that answers after 0.1 s with its state at the end
    When the fleet list is down for 5 s while a minion is listed as leaving
    Then the records were kept during the outage and the minion is closed after it

  Scenario: Entries discover one another by messages while the table is down
    Given the entries "e1" and "e2" that know each other by the table
    When "e3" sends a hello at 3 s and the table gives no answer for 60 s
    Then the live entries are "e3" after 6 s and none after 20 s
    And an entry that announces its shutdown is no longer active
