Feature: Exclusions of a minion reach all entries by every path

  Background:
    Given 2 entries and 3 minions on simulated hosts

  Scenario Outline: Neither entry sends new requests, whichever path is cut
    When "<cut>" is disconnected and the first minion <what>
    Then it gets no new requests at either entry after <limit> s

    Examples:
      | what                | cut              | limit |
      | is listed           | nothing          | 2     |
      | is listed           | entry-1 platform | 2     |
      | is listed           | entry-0 platform | 2     |
      | is listed           | entry-1 entry-0  | 2     |
      | answers 503         | entry-1 platform | 5     |
      | answers 503         | entry-1 entry-0  | 8     |
      | refuses connections | entry-1 platform | 5     |

  Scenario: An entry that is disconnected from every minion does not stop the others
    When "entry-0" is disconnected from every minion for 10 s while "entry-1" serves
    Then every answer that "entry-1" gave meanwhile is complete
    And both entries send requests to every minion within 10 s of the reconnection
