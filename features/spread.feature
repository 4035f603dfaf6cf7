Feature: Bad news of a minion reaches whole entries by every way

  Background:
    Given 2 entries and 3 minions on faked hosts

  Scenario Outline: Neither entry gives new work, whichever way is cut
    When "<cut>" is cut off and the first minion <what>
    Then it gets no new work at either entry after <limit> s

    Examples:
      | what                | cut              | limit |
      | is listed           | nothing          | 2     |
      | is listed           | entry-1 platform | 2     |
      | is listed           | entry-0 platform | 2     |
      | is listed           | entry-1 entry-0  | 2     |
      | answers 503         | entry-1 platform | 5     |
      | answers 503         | entry-1 entry-0  | 8     |
      | refuses connections | entry-1 platform | 5     |

  Scenario: An entry that is cut from every minion does not stop the others
    When "entry-0" is cut from every minion for 10 s while "entry-1" serves
    Then all that "entry-1" served meanwhile is whole
    And both entries give work to every minion within 10 s of the end
