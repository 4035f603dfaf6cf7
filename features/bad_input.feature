Feature: Malformed input gets clear answers and leaks no connections or tasks

  Background:
    Given 2 minions of "orders" behind an entry
    And the entry allows 0.3 s for heads and bodies and 20 connections

  Scenario Outline: Bytes that are no good request get a clear answer and touch no minion
    When raw bytes are sent: <pieces>
    Then the raw answers are "<answers>"
    And no minion saw a request
    And the entry keeps no connection or task open

    Examples: A piece in braces is repeated or a pause; "eof" half-closes
      | pieces                                                                                     | answers        |
      | GET /orders/ HTTP/1.1\r\nHost: a\r\nX: {x*40000}\r\n\r\n                                   | 431 not-run    |
      | GET /orders/{x*40000} HTTP/1.1\r\nHost: a\r\n\r\n                                          | 431 not-run    |
      | GET /orders/ HTTP/1.1\r\nHost: a\r\n{X: y\r\n*6000}\r\n                                               | 431 not-run    |
      | {x*70000}                                                                                  | 431 not-run    |
      | GET /orders/ HTTP/1.1\r\nHost: a\r\n{pause}                                                | 408 not-run    |
      | GET {drip}                                                                                 | 408 not-run    |
      | {pause}                                                                                    |                |
      | eof                                                                                        |                |
      | GET /orders/ HTTP/1.1\r\n{eof}                                                             | 400 not-run    |
      | GET /orders/ HTTP/1.1\r\n\r\n                                                              | 400 not-run    |
      | GET /orders/ HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n                                       | 400 not-run    |
      | GET /orders/ HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n                                        | 400 not-run    |
      | GET /orders/ HTTP/1.1\r\nHost: a\r\n folded: b\r\nbad name : c\r\n\r\n                     | 400 not-run    |
      | PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n                                                           | 405 not-run 400 not-run |
      | \x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n                                       | 400 not-run    |
      | POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n        | 400 not-run    |
      | POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n                            | 400 not-run    |
      | POST /orders/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n                       | 400 not-run    |
      | POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n{x*3000000}          | 413 not-run    |
      | POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\nExpect: 100-continue\r\n\r\n | 413 not-run |

  Scenario Outline: Unusual but good requests get whole answers in order
    When raw bytes are sent: <pieces>
    Then the raw answers are "<answers>"
    And the entry keeps no connection or task open

    Examples:
      | pieces                                                                                                        | answers     |
      | GET /orders/ HTTP/1.0\r\n\r\n                                                                                 | 200         |
      | GET /orders/ HTTP/1.0\r\nX-Chunked: 1\r\nX-Answer-Bytes: 90000\r\n\r\n                                        | 200         |
      | GET /orders/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n                                                 | 200         |
      | {GET /orders/ HTTP/1.1\r\nHost: a\r\n\r\n*3}GET /orders/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n     | 200 200 200 200 |
      | POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc                        | 200         |
      | POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n{short}abc | 100 200 |
      | HEAD /orders/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n                                                | 200         |
      | GET /orders/ HTTP/1.1\r\nHost: a\r\n\r\n{short}GET /orders/ HTTP/1.1\r\nHost: a\r\n{pause}                    | 200 408 not-run |

  Scenario: A caller that stops inside a body gets a 4xx and holds nothing
    When raw bytes are sent: POST /orders/ HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\nabc{pause}
    Then the raw answer is a 4xx
    And the entry keeps no connection or task open

  Scenario: Connections beyond the limit are refused with a time to come back
    When 34 callers connect and the last 14 of them send a request
    Then 20 of them stay connected until they are idle for too long
    And 10 of them get the status 503 "not-run" with Retry-After
    And 4 of them are closed without an answer, and reported
    And at most 30 were open at a time
    And no minion saw a request
    And the entry keeps no connection or task open

  Scenario: Connections beyond the limit that ask for nothing are told what became of a request
    When 25 callers connect and wait
    Then 20 of them stay connected until they are idle for too long
    And 0 of them get the status 503 "not-run" with Retry-After
    And 5 of them are closed without an answer, and reported
    And at most 25 were open at a time
    And the entry keeps no connection or task open

  Scenario Outline: An unexpected fault of a handler is answered visibly and reported
    Given a server whose handler fails <when>
    When raw bytes are sent: GET / HTTP/1.1\r\nHost: a\r\n\r\n
    Then the raw answers are "<answers>"
    And the fault was reported once
    And the entry keeps no connection or task open

    Examples:
      | when                 | answers |
      | before its answer    | 500     |
      | inside its answer    | 200 cut |
