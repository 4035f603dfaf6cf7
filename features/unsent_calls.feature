Feature: A call that was never sent counts as one that may be carried out late

  Scenario: A call without a connection may have reached its service
    Given a service whose queue of new connections is full
    When a call to it gets no connection in 0.3 s
    Then it is known not to have been sent

  Scenario: A call whose connection is silent is known not to have been sent
    Given a service that accepts connections and never answers
    When a call to it gets no answer in 0.3 s
    Then it may have been carried out

  Scenario: A start that waited for its turn is forwarded after its holder has given it up
    Given an entry that forwards starts to a worker that answers each one after 0.5 s
    When 9 starts for that worker come at once
    Then 6 of them are sent, and the others are known not to have been

  Scenario Outline: A worker that has ended counts as one that is cut off
    Given a service that <answers>
    When a worker there is polled for 0.3 s
    Then it counts as <state>

    Examples:
      | answers                                | state   |
      | refuses connections                    | absent  |
      | accepts connections and never answers  | silent  |
