Feature: Workers move between pools only when the saving exceeds the cost

  Scenario Outline: The chosen policy makes <moves> moves for <story>
    Given pools a, b and a spare of 8 workers each at <user>'s costs
    When pool a gets <peak> times its mean demand for <burst> s in every <cycle> s over <hours> h
    Then the policy made <moves> moves

    Examples:
      | story                        | user       | peak | burst | cycle | hours | moves |
      | one burst of seconds         | dorna      | 5    | 25    | 4000  | 1     | no    |
      | one burst of seconds         | costa_viva | 5    | 25    | 4000  | 1     | no    |
      | one long burst               | costa_viva | 5    | 100   | 9000  | 2     | no    |
      | short bursts again and again | dorna      | 5    | 10    | 100   | 6     | no    |
      | long bursts again and again  | dorna      | 5    | 60    | 300   | 2     | some  |
      | long bursts again and again  | costa_viva | 5    | 60    | 300   | 2     | some  |
      | a shortage that lasts        | dorna      | 4.2  | 60    | 60    | 2     | some  |
      | a day without any need       | costa_viva | 0.05 | 10    | 100   | 24    | some  |
      | a day without any need       | dorna      | 0.05 | 10    | 100   | 24    | no    |

  Scenario Outline: Demand that alternates between two pools doesn't move workers back and forth
    Given pools a, b and a spare of 8 workers each at <user>'s costs
    When long bursts alternate between a and b every <swap> s over 6 h
    Then no pool sent a worker and received one within <quiet> s

    Examples:
      | user       | swap | quiet |
      | dorna      | 300  | 1800  |
      | costa_viva | 300  | 1800  |
      | costa_viva | 900  | 1800  |

  Scenario Outline: <whole> answers of 0.1 s and <failed> failures of <failed_s> s count as demand
    Given an entry with slots for a service that has taken 0.1 s a request
    When <whole> requests are answered in 0.1 s and <failed> fail after <failed_s> s
    Then the entry reports them all and estimates that a request keeps a slot busy for <slot_s> s

    Examples: a failure that ends at once doesn't make a service look fast
      | whole | failed | failed_s | slot_s |
      | 4     | 0      | 0.0      | 0.1    |
      | 3     | 1      | 2.0      | 0.575  |
      | 0     | 4      | 2.0      | 2.0    |
      | 3     | 1      | 0.001    | 0.1    |
      | 0     | 4      | 0.001    | 0.1    |

  Scenario: Only one of two concurrent moves to a pool is committed
    Given two pools that decided on the same rows to send a worker to a third one
    When both transactions are committed
    Then one is committed and the other conflicts on the receiver's row

  Scenario Outline: Givers of different entries send just what a pool lacks with <faults> % faults
    Given three pools of 4 workers held by three entries, and pool c lacks one worker
    When the entries run with random faults at <faults> % of their calls
    Then pool c got exactly one worker and each worker is in one pool

    Examples:
      | faults |
      | 0      |
      | 5      |
      | 10     |

  Scenario Outline: A planned move is given up, as its transaction met the fault "<fault>"
    Given two pools of 4 workers held by an entry, and a move of one worker to pool c is planned once
    When the fault "<fault>" occurs in the transaction of the move
    Then pool c got exactly one worker and each of 8 workers is in one pool

    Examples:
      | fault        |
      | outage       |
      | lost answer  |
      | doubled call |

  Scenario: An extension's policy registers like the built-in ones
    Given a policy that an extension registers
    Then it is created by its name like the built-in ones
