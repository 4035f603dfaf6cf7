Feature: Declarations are validated as one set, and all faults are reported together

  Scenario Outline: An example has no faults
    Given the declarations of "<example>"
    When the set is checked
    Then the set has no fault
    And it declares <services> services, <pools> pools, <budgets> budgets and <maintenance> maintenance plans

    Examples:
      | example    | services | pools | budgets | maintenance |
      | dorna      | 5        | 5     | 5       | 5           |
      | costa_viva | 5        | 5     | 5       | 5           |

  Scenario Outline: A fault is reported with its file, its field, what is wrong and a remedy
    Given the declarations of "dorna"
    When "<file>" has "<old>" changed into "<new>" and the set is checked
    Then the only fault is "<file>: <fault>"

    Examples:
      | file             | old                            | new                         | fault                                                                                                                             |
      | services.toml    | pool = "desk-a"                | pool = "desk-aa"            | services.desk-a.pool: pools has no "desk-aa"; did you mean "desk-a"?                                                                |
      | budgets.toml     | service = "orders"             | service = "ordres"          | budgets.orders.service: services has no "ordres"; did you mean "orders"?                                                           |
      | jobs.toml        | team = "studio"                | team = "zzz"                | jobs.scan-meshes.team: teams has no "zzz"; use one of studio, workshop                                                             |
      | jobs.toml        | request_class = "urgent"       | request_class = "urgnt"     | jobs.scan-meshes.request_class: 'urgnt' can't be used; did you mean "urgent"?                                                      |
      | services.toml    | queue_limit = 256              | queue_limt = 256            | services.desk-a.queue_limt: there is no field "queue_limt"; did you mean "queue_limit"?                                            |
      | services.toml    | timeout_ms = 10000             | timeout_ms = 0              | services.desk-a.timeout_ms: 0 can't be used; set a whole number of at least 1                                                      |
      | services.toml    | path_prefix = "/scans"         | path_prefix = "scans"       | services.desk-a.rules[0].path_prefix: 'scans' can't be used; set a string that matches ^/                                          |
      | services.toml    | desk-b.dorna.example           | desk-a.dorna.example        | services.desk-b.hosts: "desk-a.dorna.example" is also a host of desk-a; give each host to one service, once                        |
      | services.toml    | slots_per_minion = 8           | slots_per_minion = 61       | services.desk-a.slots_per_minion: 61 slots need more than 60 connections; set at most 60                                           |
      | budgets.toml     | min_available_fraction = 0.5   | min_available_fraction = 0.9 | budgets.desk-a.min_available_fraction: no drain can ever be granted: it takes 1 of 8 minions, and 0 may be away; set at most 0.87, or want more minions |
      | budgets.toml     | service = "desk-b"             | service = "desk-a"          | budgets.desk-b.service: budgets "desk-a" is already for service "desk-a"; keep one of the two                                      |
      | maintenance.toml | pool = "desk-b"                | pool = "desk-a"             | maintenance.desk-b.pool: maintenance "desk-a" is already for pool "desk-a"; keep one of the two                                    |
      | jobs.toml        | cores = 16.0                   | cores = 65.0                | jobs.scan-meshes.cores: 65 is more than a worker of desk-a has; set at most 64                                                     |
      | jobs.toml        | memory_gb = 32.0               | memory_gb = 129.0           | jobs.scan-meshes.memory_gb: 129 is more than a worker of desk-a has; set at most 128                                                |
      | teams.toml       | quota_cores = 1024.0           | quota_cores = 2304.0        | teams.studio.quota_cores: the teams' quotas add up to 2816 and all pools have 2560; lower quotas by 256 in all                     |
      | pools.toml       | wanted_workers = 8             | wanted_workers = 0          | pools.desk-a.wanted_workers: the pool has no worker for service desk-a, job scan-meshes; set at least 1, or move its users         |
      | maintenance.toml | [maintenance.billing]          | [maintenance.Billing]       | maintenance.Billing: the name can't be used; use lower-case letters, digits, - and _                                                     |
      | queues.toml | service = "desk-a" | service = "desk-aa" | queues.scan-previews.service: services has no "desk-aa"; did you mean "desk-a"? |
      | queues.toml | "/caps/models/" | "/scans/previews/" | queues.cap-models.path_prefix: queue "scan-previews" has the same host and path; give each queue a path of its own |
      | queues.toml | jobs.dorna.example | orders.dorna.example | queues.scan-previews.host: "orders.dorna.example" is a host of service orders; take jobs in under a host of their own |
      | queues.toml | service = "desk-b" | service = "billing" | queues.cap-models.service: pool billing is spare, so its workers are off; name a service of another pool |
      | queues.toml | target_latency_ms = 600 | target_latency_ms = 6000 | queues.scan-previews.target_latency_ms: 6000 ms is longer than the timeout, 3000 ms; set at most 3000, or a longer timeout_ms |
      | queues.toml | "/caps/models/" | "/caps/models" | queues.cap-models.path_prefix: '/caps/models' can't be used; set a string that matches ^/(.*/)?$ |
      | queues.toml | priority = 1 | priority = -1 | queues.cap-models.priority: -1 can't be used; set a whole number of at least 0 |

  Scenario: Faults in several files are reported together with faults of the set as a whole
    Given the declarations of "costa_viva"
    When all of these are changed and the set is checked
      | file          | old                | new                  |
      | pools.toml    | worker_cores = 32  | worker_cors = 32     |
      | services.toml | [services.tallies] | [services.logbook]   |
      | jobs.toml     | cores = 4.0        | cores = "four"       |
      | jobs.toml     | pool = "payouts"   | pool = "payuots"     |
      | teams.toml    | quota_cores        | = quota_cores        |
    Then the faults are exactly
      | file          | field                       |
      | jobs.toml     | jobs.payout-run.cores       |
      | jobs.toml     | jobs.payout-run.pool        |
      | jobs.toml     | jobs.lift-archive.team      |
      | jobs.toml     | jobs.member-statements.team |
      | jobs.toml     | jobs.payout-run.team        |
      | pools.toml    | pools.logbook.worker_cors   |
      | pools.toml    | pools.logbook.worker_cores  |
      | services.toml | (whole file)                |
      | teams.toml    | (whole file)                |
      | queues.toml   | queues.lift-reports.service  |
      | queues.toml   | queues.shed-tallies.service  |
      | budgets.toml  | budgets.arrivals.service    |
      | budgets.toml  | budgets.logbook.service     |
      | budgets.toml  | budgets.office.service      |
      | budgets.toml  | budgets.payouts.service     |
      | budgets.toml  | budgets.tallies.service     |

  Scenario Outline: A change that would violate a budget as soon as it is in force
    Given the declarations of "dorna"
    And these are in force with <live> live minions of "desk-a"
    When "budgets.toml" has "min_available_fraction = 0.5" changed into "min_available_fraction = <fraction>" and the set is checked
    Then the set has <faults> faults

    Examples:
      | live | fraction | faults |
      | 8    | 0.75     | 0      |
      | 6    | 0.75     | 0      |
      | 5    | 0.75     | 1      |
      | 3    | 0.5      | 0      |
      | 3    | 0.4      | 0      |
