Feature: An entry that cannot be understood costs no more than itself

  Entries of the store and heartbeats may come from another program.

  Scenario Outline: A malformed member names no server and is named in the log
    # Guards against values of other types, which the converter turns into those
    # of the fields: `false` into 0 slots, a number into an address.
    Given a store feed with a sound member
    When a member arrives whose <field> is <value>
    Then it is refused in the log with its name and the sound member stays

    Examples:
      | field                | value                  |
      | address              | 8145                   |
      | address              | "10.0.0.2"             |
      | address              | "10.0.0.2:x"           |
      | address              | "host.example:80"      |
      | address              | null                   |
      | name                 | "h-1"                  |
      | name                 | 7                      |
      | zone                 | null                   |
      | boot_id              | "a\r\nb: c"            |
      | boot_id              | "\ud800"               |
      | leaving              | "no"                   |
      | server               | "i-9"                  |
      | server.slots         | false                  |
      | server.slots         | 0                      |
      | server.slots         | -1                     |
      | server.slots         | "3"                    |
      | server.slots         | 2.5                    |
      | server.slots         | 1e30                   |
      | server.state         | "asleep"               |
      | server.state         | 1                      |
      | server.address       | "10.0.0.2:0"           |
      | server.server_id     | ""                     |
      | server.service       | ["booking"]            |
      | server.version       | "v1\n"                 |
      | server.sequence      | 9223372036854775808    |
      | server.born_ms       | -1                     |
      | server.warmup_left_s | NaN                    |

  Scenario Outline: A malformed rollout state, label or selector is not applied
    Given a store feed with a sound member
    When the entry <name> arrives with <field> set to <value>
    Then it is refused in the log with its name and the sound member stays

    Examples:
      | name         | field                          | value     |
      | share.s      | permille                       | 1001      |
      | share.s      | permille                       | true      |
      | share.s      | state                          | "lost"    |
      | share.s      | finish_by                      | Infinity  |
      | share.s      | key                            | "t"       |
      | label.l      | value.members                  | "ab"      |
      | label.l      | value.kind                     | "host"    |
      | selector.s   | value.routes                   | null      |
      | selector.s   | value.routes.0.timeout_ms      | 0         |
      | selector.s   | value.routes.0.path_prefix     | "booking" |
      | selector.s   | value.shares_by_version        | {"v1": 1} |
      | selector.s   | value.shares_by_version        | {"v1": "100"} |
      | selector.s   | value                          | 3         |

  Scenario: Entries of the members of this release are accepted
    # Guards against checks that refuse what the daemons write themselves.
    Then members, rollout states, labels and selectors survive encoding

  Scenario: A peer's malformed object leaves its other objects usable
    When a peer sends its state with a malformed member before a sound one
    Then the sound member of that state is applied

  Scenario Outline: A rollout order that cannot be understood is refused
    When the order <name> arrives with <field> set to <value>
    Then the order is refused with its name in the log

    Examples:
      | name    | field         | value     |
      | booking | Service       | "permits" |
      | booking | Service       | 7         |
      | booking | TargetVersion | "v\r\n2"  |
      | booking | DurationS     | "12"      |

  Scenario Outline: An object of the store that cannot be read leaves the others readable
    When the store lists a sound object beside one with <problem>
    Then the sound object is returned

    Examples:
      | problem               |
      | a lone surrogate      |
      | bytes that are no text |
      | finalizers of another type |

  Scenario: A target with letters that cannot be sent fails its request only
    Then encoding a request for the target /łódź raises an expected error

  Scenario: A server identifier and a route name may have any letters
    When a request is sent to a server whose identifier has letters outside Latin-1
    Then it is served, and counted under the name of its route

  Scenario: A rollout of a service with any letters in its name ends no daemon
    # Guards against a daemon that ends when it reports the state of such a
    # rollout, and after it each daemon that takes the rollout over.
    Given a mesh of 2 hosts
    When another writer orders a rollout of the unknown service dyspozytor-łódź/2
    Then requests at both hosts succeed for 6 seconds and no daemon has ended
    And the status of the order says that it was rolled back

  Scenario: Malformed entries of another writer end no daemon and cost no request
    # Guards against entries that end every daemon, again after each restart.
    Given a mesh of 2 hosts
    When another writer stores malformed entries
    Then requests at both hosts succeed for 6 seconds and no daemon has ended
    And each malformed entry is named in the log of each daemon

  Scenario: A daemon writes its member again when another writer has overwritten it
    Given a mesh of 2 hosts
    When another writer overwrites the member of the first daemon
    Then the member is stored again within 4 seconds

  Scenario: A daemon that starts beside malformed entries serves
    Given a mesh of 2 hosts
    When another writer stores malformed entries
    And the second daemon is killed and restarted
    Then the restarted daemon serves within 5 seconds
