Feature: A request goes through an entry and its whole answer comes back

  Background:
    Given 3 minions of "orders" behind an entry

  Scenario Outline: Whole answers of every framing
    When a caller sends 20 <method> requests with <sent> bytes for <answered> bytes <framing>
    Then all answers are whole
    And no request ran twice

    Examples:
      | method | sent   | answered | framing |
      | GET    | 0      | 64       | sized   |
      | GET    | 0      | 300000   | chunked |
      | POST   | 200000 | 0        | sized   |
      | POST   | 10     | 300000   | chunked |

  Scenario Outline: Bad input gets a clear answer and touches no minion
    When a caller sends the bytes <bytes>
    Then the answer has status <status> and outcome "not-run"
    And no minion saw a request

    Examples:
      | bytes                                                                                             | status |
      | GET /nothing/ HTTP/1.1\r\nHost: a\r\n\r\n                                                         | 404    |
      | POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n      | 400    |
      | POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n                                    | 400    |
      | nonsense\r\n\r\n                                                                                  | 400    |
      | TRACE /orders/ HTTP/1.1\r\nHost: a\r\n\r\n                                                        | 405    |
      | GET /orders/ HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: soon\r\n\r\n                              | 400    |
      | POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n                          | 413    |

  Scenario: A minion that refuses connections is passed over
    Given the minion 0 is gone without notice
    When a caller sends 20 POST requests with 10 bytes for 64 bytes sized
    Then all answers are whole
    And no request ran twice
