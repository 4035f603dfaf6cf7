Feature: Every answer is complete or visibly broken, and reports correctly whether the request ran

  Scenario Outline: A minion that <does>
    Given a minion that <does>, and a healthy one
    When a caller sends <method> with <sent> bytes to it first
    Then the caller got <result>

    Examples: Before the first byte of the answer
      | does                                 | method | sent    | result                |
      | closes at once                       | GET    | 0       | a whole answer        |
      | closes at once                       | POST   | 10      | unknown minion-cut    |
      | closes at once                       | PUT    | 10      | a whole answer        |
      | closes after the head                | GET    | 0       | a whole answer        |
      | closes after the head                | POST   | 10      | unknown minion-cut    |
      | closes after the head                | POST   | 3000000 | unknown minion-cut    |
      | closes after the head                | PUT    | 3000000 | unknown minion-cut    |
      | sends half a head                    | GET    | 0       | a whole answer        |
      | sends half a head                    | POST   | 10      | unknown minion-cut    |
      | answers nonsense                     | GET    | 0       | a whole answer        |
      | answers nonsense                     | POST   | 10      | unknown minion-cut    |
      | sends half of a small body           | GET    | 0       | a whole answer        |
      | sends half of a small body           | POST   | 10      | unknown minion-cut    |
      | gives no length                      | GET    | 0       | a whole answer        |
      | gives no length                      | POST   | 10      | unknown minion-bad-answer |
      | never answers                        | GET    | 0       | unknown minion-timeout |
      | never answers                        | POST   | 10      | unknown minion-timeout |
      | never reads                          | POST   | 9000000 | unknown minion-timeout |

    Examples: After the first byte of the answer
      | does                                 | method | sent    | result                |
      | sends half of a large body           | GET    | 0       | a broken answer       |
      | sends half of a large body           | POST   | 10      | a broken answer       |
      | sends half of a chunked body         | GET    | 0       | a broken answer       |
      | stops in a large body                | GET    | 0       | a broken answer       |

    Examples: Answers of every form
      | does                                 | method | sent    | result                |
      | answers 100 and 103 first            | POST   | 10      | status 200 with "done" |
      | answers 204                          | POST   | 10      | status 204 with ""    |
      | answers 304                          | GET    | 0       | status 304 with ""    |
      | answers HEAD with a length           | HEAD   | 0       | status 200 with ""    |
      | answers HEAD without a length        | HEAD   | 0       | status 200 with ""    |
      | answers 413 before the body ended    | POST   | 9000000 | status 413 with "too much" |
      | answers 413 and closes               | POST   | 9000000 | status 413 with "too much" |

  Scenario: A cut answer can't be taken for a whole one by a caller that reads to the end
    Given a minion that sends half of a chunked body, and no other
    When an HTTP/1.0 caller sends GET
    Then its connection is reset

  Scenario: An answer that nobody asked for never reaches the next caller
    Given a minion that answers twice, and no other
    When callers send GET one after another on kept connections
    Then each got the answer to its own request

  Scenario: Late answers never cross callers
    Given 2 entries and 3 minions on simulated hosts
    When 300 callers with short and long timeouts send mixed requests
    Then no caller got another's answer, and no request that ran was reported as not-run

  Scenario Outline: A caller that <does>
    Given 2 minions that record, with a limit of 100000 bytes a body
    When a misbehaving caller <does>
    Then the caller got <result>
    And the minions saw <runs> runs

    Examples:
      | does                                          | result                  | runs |
      | is slow within the first bytes of its body    | not-run body-timeout    | 0    |
      | is slow after 90000 bytes of its body         | unknown body-timeout    | 1    |
      | sends 200000 bytes in chunks                  | unknown body-too-large  | 1    |
      | sends 120000 bytes in chunks at once with key | not-run body-too-large  | 0    |
      | breaks its chunks at once                     | not-run bad-request     | 0    |

  Scenario: A caller that goes away frees what waits for it and what may be cancelled
    Given a minion that never answers, and no other
    When a GET's caller goes away while it runs, and another's while it waits for a slot
    Then both slots and both places in the queue are free within 2 s

  Scenario: A caller that goes away doesn't cut a POST that runs
    Given 2 slow minions behind an entry
    When the caller of a running POST goes away
    Then the minion finishes it

  Scenario: The deadline goes to the minion
    Given 2 minions that record, with a limit of 100000 bytes a body
    When a caller sends GET with a timeout of 700 ms
    Then the minion received a timeout between 1 and 700 ms

  Scenario: An unexpected exception gives an answer and frees the slot
    Given 2 minions that record, with a limit of 100000 bytes a body
    When the relay fails within 40 requests one after another
    Then each got "internal" and later requests are whole

  Scenario: Bodies that are read ahead take a bounded memory together
    Given 2 slow minions behind an entry
    When 80 callers each send all but the end of a keyed body of 1 MB
    Then 64 still wait and 16 were refused "not-run overloaded" at once
    And once they have disconnected another keyed body of 1 MB is accepted

  Scenario Outline: Memory stays bounded with a slow <end>
    Given a minion that <does>, and no other
    When 64 MB are sent while the slow <end> reads nothing
    Then the entry held at most 4 MB and the source had to wait

    Examples:
      | end    | does                    |
      | caller | sends without end       |
      | minion | never reads             |

  Scenario: The operators' page documents every kind of error as it is returned
    Then docs/operating/requests.md lists each kind with its status, outcome and retry
