Feature: A graceful shutdown aborts no request and refuses as few as possible

  Background:
    Given 2 entries and 3 minions on simulated hosts

  Scenario Outline: What a caller gets by the time since SIGTERM
    When the entry "entry-0" has been asked to stop for <seconds> s while "long" runs
    And a caller sends "new" over <link>
    Then the new call ended as "<result>" with "<told>"
    And the long call gets a whole answer, and the entry exits

    Examples:
      | seconds | link              | result  | told             |
      | 0.0     | a new connection  | whole   | connection close |
      | 0.0     | a kept connection | whole   | connection close |
      | 1.9     | a new connection  | whole   | connection close |
      | 1.9     | a kept connection | whole   | connection close |
      | 2.1     | a new connection  | refused |                  |
      | 2.1     | a kept connection | not-run | shutting-down    |

  Scenario: It says at once that it is not ready, and peers give it no new duties
    When the entry "entry-0" has been asked to stop for 0.1 s while "long" runs
    Then the entry "entry-0" is not ready and its peers know that it leaves
    And the long call gets a whole answer, and the entry exits

  Scenario: A second signal ends the grace but no request
    When the entry "entry-0" has been asked to stop for 0.1 s while "long" runs
    And it is asked again
    And a caller sends "new" over a new connection
    Then the new call ended as "refused" with ""
    And the long call gets a whole answer, and the entry exits

  Scenario Outline: A stop ends in time whatever does not answer
    When <what> is frozen and the entry "entry-0" is asked to stop while "long" runs
    Then the entry exits within <limit> s

    Examples:
      | what         | limit |
      | the platform | 10    |
      | every minion | 40    |

  Scenario: A cancellation that is lost once does not hold up the stop
    Given the wait for peers' messages at "entry-0" swallows one cancellation
    When the entry "entry-0" has been asked to stop for 0.1 s while "long" runs
    Then the long call gets a whole answer, and the entry exits
