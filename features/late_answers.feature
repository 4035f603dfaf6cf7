Feature: An answer of the store that was read late counts as new
  An entry whose configuration was the newest a while ago must not say that a path doesn't exist, as
  it may have been added since.

  Scenario: A path that may have been added is unknown to a process that stood still
    Given an entry with a configuration from a store that answers at once
    When the process stands still for 1.2 s as an answer of the store arrives, and the next one doesn't come
    Then 1.8 s after the first was made a request for an unknown path is answered 404 "unknown-queue"
    But 2.2 s after the first was made a request for an unknown path is answered 503 "configuration-stale"

  Scenario: A path that may have been added is unknown while an answer is under way
    Given an entry with a configuration from a store that answers at once
    When an answer of the store takes 0.5 s on its way, and the next one doesn't come
    Then 1.7 s after the first was made a request for an unknown path is answered 404 "unknown-queue"
    But 2.2 s after the first was made a request for an unknown path is answered 503 "configuration-stale"

  Scenario Outline: An unknown path is refused although the configuration is the newest
    Given an entry with a configuration from a store that <answers>
    Then for 5 s every request for an unknown path is answered 404 "unknown-queue"

    Examples: quiet and slow stores, and their clocks
      | answers                                        |
      | answers at once                                |
      | answers after 0.4 s                            |
      | makes answers that take 0.4 s on their way     |
      | answers at once, and whose clock is 2% slow    |
      | answers at once, and whose clock is 2% fast    |
      | answers at once, and whose clock starts anew   |
