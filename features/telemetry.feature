Feature: Every request is counted, timed and traced at each hop

  Background:
    Given 2 minions of "orders" behind an entry

  Scenario Outline: traceparent is taken up and a span is made for each hop
    Given the traced fraction is <fraction>
    When a request with the traceparent "<given>" has been served
    Then the spans are "<spans>" in one trace
    And the traceparent sent to the minion is <told>

    Examples:
      | fraction | given                                                   | spans               | told                 |
      | 0.0      | 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01 | slot,minion,request | the minion hop       |
      | 0.0      | 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00 |                     | what the caller gave |
      | 0.0      |                                                         |                     | nothing              |
      | 1.0      |                                                         | slot,minion,request | the minion hop       |
      | 1.0      | 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00 |                     | what the caller gave |
      | 0.0      | 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-03 | slot,minion,request | the minion hop       |
      | 0.0      | rubbish-01                                              | slot,minion,request | the minion hop       |

  Scenario: A keyed request has a span for its claim too
    Given the traced fraction is 1.0
    When a keyed request has been served
    Then the spans are "claim,slot,minion,request" in one trace

  Scenario: The metrics tell what happened, with names and units of Prometheus
    Given the minion 0 is gone without notice
    When 20 requests for "orders" and 1 for a wrong method have been served
    Then the metrics match the callers' records

  Scenario: A request writes one line at debug and none at info
    When a request has been served with logs at "debug" and at "info"
    Then 1 line is logged for it at "debug" and 0 at "info"
