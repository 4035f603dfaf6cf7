# Written by `make faults` from the tables in features/faults/matrix.py.
Feature: Every fault at every step

  Scenario Outline: <fault> at accept
    When "<fault>" strikes at the step "accept"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion cut before first byte |
      | minion cut after first byte |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at queue
    When "<fault>" strikes at the step "queue"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion cut before first byte |
      | minion cut after first byte |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at claim
    When "<fault>" strikes at the step "claim"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion cut before first byte |
      | minion cut after first byte |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at connect
    When "<fault>" strikes at the step "connect"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion cut before first byte |
      | minion cut after first byte |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at send head
    When "<fault>" strikes at the step "send head"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion cut before first byte |
      | minion cut after first byte |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at send body
    When "<fault>" strikes at the step "send body"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion cut before first byte |
      | minion cut after first byte |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at await
    When "<fault>" strikes at the step "await"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion cut before first byte |
      | minion cut after first byte |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at relay
    When "<fault>" strikes at the step "relay"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion cut after first byte |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at store answer
    When "<fault>" strikes at the step "store answer"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at publish
    When "<fault>" strikes at the step "publish"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |

  Scenario Outline: <fault> at spread
    When "<fault>" strikes at the step "spread"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |

  Scenario Outline: <fault> at switch
    When "<fault>" strikes at the step "switch"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |

  Scenario Outline: <fault> at join
    When "<fault>" strikes at the step "join"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion cut before first byte |
      | minion cut after first byte |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at leave
    When "<fault>" strikes at the step "leave"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | entry cut from minions |
      | minion killed |
      | minion paused |
      | minion cut before first byte |
      | minion cut after first byte |
      | minion failing everything |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
      | minion killed and table answer lost |

  Scenario Outline: <fault> at lease
    When "<fault>" strikes at the step "lease"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |

  Scenario Outline: <fault> at drain
    When "<fault>" strikes at the step "drain"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |

  Scenario Outline: <fault> at wait
    When "<fault>" strikes at the step "wait"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |

  Scenario Outline: <fault> at change row
    When "<fault>" strikes at the step "change row"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |

  Scenario Outline: <fault> at start
    When "<fault>" strikes at the step "start"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |

  Scenario Outline: <fault> at place
    When "<fault>" strikes at the step "place"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |

  Scenario Outline: <fault> at start task
    When "<fault>" strikes at the step "start task"
    Then every guarantee holds

    Examples:
      | fault |
      | entry killed |
      | entry paused |
      | entry cut from peers |
      | entry cut from table |
      | table down |
      | table slow |
      | table answer lost |
      | table stale read |
      | list stale |
      | message late |
      | message twice |
      | message out of order |
      | racing operator |
      | rack lost |
      | zone lost |
      | entry killed and table down |
