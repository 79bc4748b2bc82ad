Feature: The decisions of the daemon beside a server

  Scenario: A late heartbeat does not undo a newer one
    Given a registrar of a server
    When heartbeats with born, sequence and state come
      | born | sequence | state    |
      | 100  | 4        | ready    |
      | 100  | 6        | draining |
      | 100  | 5        | ready    |
    Then the server takes no requests

  Scenario: A server that drains does not come back in the same incarnation
    Given a registrar of a server
    When heartbeats with born, sequence and state come
      | born | sequence | state    |
      | 100  | 4        | draining |
      | 100  | 5        | ready    |
    Then the server takes no requests

  Scenario: A heartbeat of an earlier incarnation is ignored
    Given a registrar of a server
    When heartbeats with born, sequence and state come
      | born | sequence | state    |
      | 200  | 1        | ready    |
      | 100  | 9        | draining |
    Then the server takes requests

  Scenario: A restarted server with the same id is taken at its first heartbeat
    Given a registrar of a server
    When heartbeats with born, sequence and state come
      | born | sequence | state    |
      | 100  | 9        | ready    |
    And the server says that it leaves
    And heartbeats with born, sequence and state come
      | born | sequence | state    |
      | 200  | 1        | ready    |
    Then the server takes requests

  Scenario: A server that has left is not used for a heartbeat that comes late
    Given a registrar of a server
    When heartbeats with born, sequence and state come
      | born | sequence | state    |
      | 100  | 4        | ready    |
    And the server says that it leaves
    And heartbeats with born, sequence and state come
      | born | sequence | state    |
      | 100  | 5        | ready    |
    Then the server takes no requests

  Scenario: A restarted daemon does not use a server that it has not heard
    Given a registrar of a server
    When the store holds the server as ready
    Then the server takes no requests

  Scenario: A restarted daemon uses its server once it has answered a check
    Given a registrar of a server
    When the store holds the server as ready
    And the server answers a check
    Then the server takes requests

  Scenario: A check does not undo a leave that came meanwhile
    Given a registrar of a server
    When the store holds the server as ready
    And the server says that it leaves
    And the server answers a check
    Then the server takes no requests

  Scenario: A check of an earlier server says nothing of a later one
    Given a registrar of a server
    When the store holds the server as ready
    And the store holds a later server
    And the server answers a check
    Then the server takes no requests

  Scenario: A restarted daemon keeps to a leave that its former process stored
    Given a registrar of a server
    When the store holds the server as draining
    And heartbeats with born, sequence and state come
      | born | sequence | state    |
      | 100  | 9        | ready    |
    Then the server takes no requests

  Scenario: A heartbeat for another address is refused
    Given a registrar of a server
    When a heartbeat for another address comes
    Then the server takes no requests

  Scenario Outline: A heartbeat that cannot be used names no server
    When a heartbeat holds <field> with <value>
    Then it is refused with a message that names <field>

    Examples:
      | field   | value     |
      | State   | "asleep"  |
      | Slots   | 0         |
      | Slots   | "18"      |
      | Seq     | null      |
      | Service | 7         |
      | born    | 1.5       |

  Scenario: Bytes that are no heartbeat are refused
    Then a heartbeat of bytes that cannot be read is refused

  Scenario: A configuration is decoded into routes, services and limits
    When a configuration with a split route is decoded
    Then the route has two shares and its times in seconds

  Scenario Outline: A configuration that cannot be used is refused whole
    When a configuration lacks <field>
    Then it is refused with a message that names <field>

    Examples:
      | field      |
      | Version    |
      | Hostname   |
      | PathPrefix |
      | TimeoutMs  |

  Scenario: The longest prefix that begins the path selects the route
    Given a route table
    Then paths lead to routes
      | host       | path        | route |
      | a.example  | /x/1        | x     |
      | A.example  | /x/y/2      | xy    |
      | a.example  | /x/y        | x     |
      | a.example  | /z          | -     |
      | b.example  | /x/1        | -     |

  Scenario: A split route gives each service its share
    Then of 100 requests a split of 90 and 10 gives 90 and 10

  Scenario: An older configuration is not taken into force
    Then a directory at version 9 keeps it when version 8 arrives

  Scenario: Without an order only the version that started first serves
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v2      | 200  | 10         |
    Then of 50 choices a gets 50

  Scenario: A version that is rolled out gets its share
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v2      | 200  | 10         |
    When the share of v2 is 60 thousandths and running
    Then of 500 choices b gets 30

  Scenario: A version that was rolled back gets nothing
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v2      | 200  | 10         |
    When the share of v2 is 0 thousandths and rolled_back
    Then of 50 choices a gets 50

  Scenario Outline: A selector gives each version its part
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | <has_a> | 100  | 10         |
      | b    | <has_b> | 200  | 10         |
    When a selector gives v1 90 and the new version v2 10 percent
    Then of 100 choices of the selector v1 gets <v1>, v2 gets <v2> and <none> find no server

    Examples: Traffic of a version without a server does not move to a new one.
      | has_a | has_b | v1  | v2 | none |
      | v1    | v2    | 90  | 10 | 0    |
      | v1    | v1    | 100 | 0  | 0    |
      | v2    | v2    | 0   | 10 | 90   |
      | v3    | v3    | 0   | 0  | 100  |

  Scenario: A selector uses only the targets of its label
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | 10         |
    When a selector names the targets i-2
    Then all 20 choices of that selector are b

  Scenario: A server that was never measured is tried
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | -          |
    Then the next choice is b

  Scenario: A peer that refused is passed over
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | 50         |
    When the peer a has refused
    Then the next choice is b

  Scenario Outline: Another zone is asked only if it has room
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | 10         |
    When b is in another zone with a load of <far>
    And a has a load of <near> and has <refusal>
    Then the next choice at rank <rank> is <choice>

    Examples:
      | near | far | refusal     | rank | choice |
      | 0.5  | 0.0 | not refused | 0    | a      |
      | 2.0  | 0.5 | not refused | 0    | b      |
      | 2.0  | 1.5 | not refused | 0    | a      |
      | 2.0  | 0.2 | not refused | 2    | a      |
      | 1.0  | 1.5 | refused     | 0    | a      |
      | 1.0  | 0.2 | refused     | 2    | b      |

  Scenario Outline: A failing server alone in its zone gives way to others
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | 10         |
    When b is in another zone with a load of 0.2
    And <failed> of the last 10 answers of a failed, <ago> seconds ago
    Then the next choice is <choice>

    Examples:
      | failed | ago | choice |
      | 0      | 0   | a      |
      | 6      | 0   | b      |
      | 6      | 9   | a      |

  Scenario: A full server of another zone is not asked in vain
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
    When a is in another zone and is full
    Then no server is chosen

  Scenario: A request that another zone has refused is not sent to a third one
    Given a balancer of one zone with servers
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | 10         |
    When a and b are in other zones and a was tried
    Then there is no further choice

  Scenario Outline: The judge finds bad versions and spares good ones
    When the old version fails <old_failed> of <old> and the new one <new_failed> of <new>, <factor> times as slow
    Then the verdict is <verdict>

    Examples:
      | old | old_failed | new | new_failed | factor | verdict |
      | 500 | 2          | 40  | 18         | 1      | failed  |
      | 500 | 2          | 40  | 1          | 1      | good    |
      | 500 | 200        | 40  | 16         | 1      | good    |
      | 500 | 2          | 40  | 0          | 8      | slow    |
      | 500 | 2          | 60  | 0          | 2      | good    |
      | 500 | 2          | 7   | 7          | 1      | good    |

  Scenario: Good versions are hardly ever found bad
    Then of 300 simulated good versions at most 3 are found bad

  Scenario: A second answer to an earlier request is dropped
    When a second answer comes before the answer to a request
    Then the request gets its own answer

  Scenario: Logs are bounded and never wait for their reader
    When 5000 log lines are written to a pipe that nobody reads
    Then it took less than 1 second and the dropped lines were counted

  Scenario: Changes that come together cost few calls to the store
    # Guards against daemons times changes calls at a start of all daemons.
    Given a store in which an object changes every 5 milliseconds
    When a watcher that batches for 0.2 seconds follows it for 1 second
    Then it made at most 12 calls and saw the last change within 0.4 seconds

  Scenario Outline: A rollout that ends just in time ends once
    # Guards against a completed version that is rolled back in the same step.
    Given a rollout in its last stage with <left> seconds left
    When its holder decides
    Then the shares written are <states>

    Examples:
      | left | states      |
      | 5.0  | done        |
      | 0.2  | done        |
