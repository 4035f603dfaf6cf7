Feature: Excess requests are refused at once, by class and deadline, for each service

  Scenario Outline: What a full service does with one more request: <case>
    Given a service of 1 minion with 2 slots and a queue of 4
    And both slots are taken and "<waiting>" wait
    When a request of class <class> with a deadline in <deadline_ms> ms arrives
    Then it is <decision> and <evicted> is evicted for it

    Examples:
      | case                              | waiting                      | class  | deadline_ms | decision           | evicted   |
      | there is room                     | normal                       | normal | 1000        | queued             | nobody    |
      | its queue is full                 | normal normal normal normal  | normal | 1000        | overloaded         | nobody    |
      | urgent displaces batch            | normal batch batch normal    | urgent | 1000        | queued             | batch     |
      | normal displaces batch            | urgent batch normal normal   | normal | 1000        | queued             | batch     |
      | urgent displaces normal           | urgent urgent normal urgent  | urgent | 1000        | queued             | normal    |
      | batch displaces nobody            | normal normal batch normal   | batch  | 1000        | overloaded         | nobody    |
      | the wait is too long              | normal normal normal         | normal | 80          | deadline-too-short | nobody    |
      | a higher class waits less         | normal normal normal         | urgent | 80          | queued             | nobody    |
      | its deadline is past              |                              | urgent | 0           | deadline-too-short | nobody    |
      | it has time for the work alone    | normal normal                | normal | 95          | deadline-too-short | nobody    |

  Scenario: Every waiting request is answered at its own deadline, also behind higher classes
    Given a service of 1 minion with 2 slots and a queue of 200
    When both slots stay taken for 10 s and 150 requests of all classes wait 0.5 to 5.0 s
    Then each of them was refused as not run within 1 ms of its deadline

  Scenario: Requests that go away leave no trace
    Given a service of 1 minion with 2 slots and a queue of 200
    When 100 requests of all classes wait and 60 of them are cancelled in any order
    Then the other 40 are granted, each class by its deadlines, and none of those cancelled

  Scenario Outline: No class waits for ever: <loads>
    Given a service of 1 minion with 8 slots and a queue of 64
    When "<loads>" requests/s of 50 ms arrive by class for 20 s
    Then at least <urgent> of urgent, <normal> of normal and <batch> of batch are served

    Examples:
      | loads                         | urgent | normal | batch |
      | urgent 100 normal 20 batch 20 | 0.99   | 0.95   | 0.8   |
      | urgent 400 normal 40 batch 20 | 0.25   | 0.3    | 0.3   |
      | urgent 60 normal 300 batch 20 | 0.99   | 0.25   | 0.3   |

  Scenario: Refused callers come back spread over several seconds
    Given a service of 1 minion with 2 slots and a queue of 4
    When 400 requests are refused
    Then their Retry-After values spread over at least 3 whole seconds, none with over 45 percent
    And another seed spreads them differently

  Scenario: One service's burst takes nothing from another
    Given two services with 2 minions each behind one entry
    When one gets 5 times its capacity for 4 s and the other half of its capacity
    Then 99 percent of the other's requests start within 50 ms and none is refused
    And at most 256 requests of the first waited at once

  Scenario Outline: The retry budget bounds retries: <failing> of the attempts fail
    When 1000 requests arrive and <failing> of all attempts fail
    Then at most <most> and at least <least> retries are sent

    Examples:
      | failing | least | most |
      | 1.0     | 100   | 110  |
      | 0.05    | 18    | 88   |
      | 0.0     | 0     | 0    |

  Scenario: Refused work is answered at once at five times the load
    When the overload is replayed at 5 times the mean
    Then goodput of the bursting service is at least 2 times that of first come first served
    And all urgent requests and all of the steady service are served in time
