Feature: A submission is rejected as not run only if the job never runs
  The table's answers, time limits, callers that leave, further tries and the end of the holder come in any order.

  Scenario: A job is rejected though its transaction is answered as the time limit ends
    When a submission meets all orders of 2 events, 0 to 1 turns of the loop apart
    Then no caller's answer is contradicted

  Scenario: A job is rejected though it was stored, with more turns between the events
    When a submission meets all orders of 2 events, 2 to 3 turns of the loop apart
    Then no caller's answer is contradicted

  Scenario: A job is rejected though another try of it is stored
    When a submission meets 160 random orders of 3 events, 0 to 3 turns of the loop apart
    Then no caller's answer is contradicted

  @soak
  Scenario: A job is rejected though it was stored, in long orders
    When a submission meets 4000 random orders of 4 events, 0 to 3 turns of the loop apart
    Then no caller's answer is contradicted
