Feature: An entry of another writer names no worker, and the workers' entries hold
  Another program may write any bytes into the table of workers. Only a row that is wholly one of
  the protocol, in ranges that can be called and stored, names a worker.

  Scenario Outline: An entry that can't be read hides all workers
    Given a table of workers with 3 workers and an entry that <fault>
    When the workers are watched for 1 s
    Then the 3 workers are known, and the watch has not ended

    Examples:
      | fault                        |
      | is nested 5,000 deep         |
      | is nested in an unknown field|
      | is no JSON                   |
      | has 4,000 digits             |
      | is empty                     |

  # A new holder never learned the address of a worker whose row was replaced at once.
  Scenario Outline: A row is passed over as one of another writer follows it
    Given a table whose next changes are rows of one worker at <rows>
    When the workers are watched for 1 s
    Then the addresses yielded were <addresses>

    Examples:
      | rows          | addresses       |
      | a, false      | x, a, false     |
      | false, a      | x, false, a     |
      | a, false, a   | x, a, false, a  |
      | a, a          | x, a            |
      | x, false      | x, false        |
      | a, x          | x, a, x         |

  Scenario Outline: An entry with a fault in one field names a worker
    Given the entry of a worker
    When the entry has <value> as its <field>
    Then it names no worker

    Examples: missing fields
      | field           | value   |
      | service         | missing |
      | address         | missing |
      | zone            | missing |
      | version         | missing |
      | slots           | missing |
      | state           | missing |
      | coldRemainingMs | missing |
      | sequence        | missing |
      | capacity        | missing |
      | labels          | missing |
      | machine         | missing |
      | born            | missing |
      | clockMs         | missing |

    Examples: values that can't be used
      | field       | value                       |
      | born        | 18446744073709551616        |
      | born        | -1                          |
      | born        | 5.5                         |
      | born        | true                        |
      | born        | "5"                         |
      | capacity    | {"cpu": 1e30, "memMb": 1, "gpu": 0} |
      | capacity    | {"cpu": 9223372036854775808, "memMb": 1, "gpu": 0} |
      | capacity    | {"cpu": -1, "memMb": 1, "gpu": 0} |
      | capacity    | {"cpu": 1}                  |
      | capacity    | {"cpu": 1, "memMb": 1}      |
      | capacity    | {"cpu": 1, "memMb": 1, "gpu": "0"} |
      | clockMs     | "1000"                      |
      | clockMs     | null                        |
      | capacity    | 7                           |
      | address     | ""                          |
      | address     | "x"                         |
      | address     | "x:80"                      |
      | address     | "10.0.0.1"                  |
      | address     | "10.0.0.1:"                 |
      | address     | "10.0.0.1:0"                |
      | address     | "10.0.0.1:65536"            |
      | address     | "10.0.0.256:80"             |
      | state       | "odd"                       |
      | state       | null                        |
      | labels      | ["a"]                       |
      | labels      | ["a", 1]                    |
      | machine     | ""                          |
      | remainingMs | -5                          |

  Scenario Outline: An entry under a key that is not the id of a worker names one
    Given the entry of a worker
    When the entry has "<key>" as its key
    Then it names no worker

    Examples:
      | key             |
      | servers//       |
      | servers//a b    |
      | servers//é      |
      | servers/part/w  |

  Scenario: An entry whose key ends like the id of a worker is taken for that worker
    Given the entry of a worker
    When the entry has "servers//x/w0" as its key
    Then it doesn't name the worker "w0"

  Scenario: Arbitrary bytes end the watch, or name a worker that can't be stored
    Then any bytes, and any change of an entry, name no worker or one that can be stored and called
