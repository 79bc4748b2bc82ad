Feature: A daemon decides on heartbeats, configurations, servers and rollouts

  In the tables, "born" is the start time of a server process in milliseconds,
  and "sequence" numbers the heartbeats of a server process.

  Scenario: A heartbeat that arrives late does not replace a newer one
    Given a registrar of the local server
    When heartbeats arrive
      | born | sequence | state    |
      | 100  | 4        | ready    |
      | 100  | 6        | draining |
      | 100  | 5        | ready    |
    Then the server gets no requests

  Scenario: A draining server does not become ready again in the same incarnation
    Given a registrar of the local server
    When heartbeats arrive
      | born | sequence | state    |
      | 100  | 4        | draining |
      | 100  | 5        | ready    |
    Then the server gets no requests

  Scenario: A heartbeat of an earlier incarnation is ignored
    Given a registrar of the local server
    When heartbeats arrive
      | born | sequence | state    |
      | 200  | 1        | ready    |
      | 100  | 9        | draining |
    Then the server gets requests

  Scenario: A restarted server with the same id gets requests again
    Given a registrar of the local server
    When heartbeats arrive
      | born | sequence | state    |
      | 100  | 9        | ready    |
    And the server deregisters
    And heartbeats arrive
      | born | sequence | state    |
      | 200  | 1        | ready    |
    Then the server gets requests

  Scenario: A late heartbeat does not undo a deregistration
    Given a registrar of the local server
    When heartbeats arrive
      | born | sequence | state    |
      | 100  | 4        | ready    |
    And the server deregisters
    And heartbeats arrive
      | born | sequence | state    |
      | 100  | 5        | ready    |
    Then the server gets no requests

  Scenario: A restarted daemon sends no requests to a server known only from the store
    Given a registrar of the local server
    When the store holds the server as ready
    Then the server gets no requests

  Scenario: A restarted daemon sends requests to a stored server after a check
    Given a registrar of the local server
    When the store holds the server as ready
    And the stored server passes a check
    Then the server gets requests

  Scenario: A check does not undo a deregistration that arrives meanwhile
    Given a registrar of the local server
    When the store holds the server as ready
    And the server deregisters
    And the stored server passes a check
    Then the server gets no requests

  Scenario: A check of an earlier server does not confirm a later one
    Given a registrar of the local server
    When the store holds the server as ready
    And the store holds a later server
    And the stored server passes a check
    Then the server gets no requests

  Scenario: A server that is stored as draining stays so after a daemon restart
    Given a registrar of the local server
    When the store holds the server as draining
    And heartbeats arrive
      | born | sequence | state    |
      | 100  | 9        | ready    |
    Then the server gets no requests

  Scenario: A heartbeat with an address that differs from the settings is refused
    Given a registrar of the local server
    When a heartbeat with another address arrives
    Then the server gets no requests

  Scenario Outline: An invalid heartbeat is refused with the name of the invalid field
    When a heartbeat with <field> set to <value> is decoded
    Then decoding fails with a message that names <field>

    Examples:
      | field   | value     |
      | State   | "asleep"  |
      | Slots   | 0         |
      | Slots   | "18"      |
      | Seq     | null      |
      | Service | 7         |
      | born    | 1.5       |
      | born    | 1e30      |
      | Seq     | 1e30      |
      | Slots   | 1e30      |
      | Slots   | true      |
      | Address | 7         |
      | Address | "booking" |
      | Version | "v\r\n1" |
      | Zone    | ""        |

  Scenario: A heartbeat that is not a JSON object is refused
    Then decoding a heartbeat that is not a JSON object fails

  Scenario: A configuration is decoded into routes, services and limits
    When a configuration with a route to two services is decoded
    Then the route has two traffic shares and its times are in seconds

  Scenario Outline: An invalid configuration is refused as a whole
    When a configuration without <field> is decoded
    Then decoding fails with a message that names <field>

    Examples:
      | field      |
      | Version    |
      | Hostname   |
      | PathPrefix |
      | TimeoutMs  |

  Scenario: The requests of a download may run more than once
    When a configuration with a route of type download is decoded
    Then the requests of the route are idempotent

  Scenario Outline: A split that cannot be kept is refused as a whole
    When a configuration whose split has <fault> is decoded
    Then decoding fails with a message that names <field>

    Examples:
      | fault               | field                |
      | no weight above 0   | TrafficSplit         |
      | no services         | TrafficSplit         |
      | a negative weight   | TrafficSplit.Weight  |
      | an absent weight    | TrafficSplit.Weight  |
      | a textual weight    | TrafficSplit.Weight  |
      | an infinite weight  | TrafficSplit.Weight  |
      | an unknown service  | TrafficSplit.Service |

  Scenario: Splits keep their shares over many daemons that begin anew
    # Guards against round robins that all begin with the same service. Each of
    # 79 daemons sends a few requests before the next change of the routes.
    When 10000 requests on a split of 60, 30, 10 and 0 percent begin anew each 3
    Then each service got its share within 2 percent

  Scenario: The longest matching path prefix selects the route
    Given a route table with prefixes /x/ and /x/y/
    Then hosts and paths match these routes
      | host       | path        | route |
      | a.example  | /x/1        | x     |
      | A.example  | /x/y/2      | xy    |
      | a.example  | /x/y        | x     |
      | a.example  | /z          | -     |
      | b.example  | /x/1        | -     |

  Scenario: A route to two services divides its requests by their traffic shares
    Then shares of 90 and 10 percent divide 100 requests into 90 and 10

  Scenario: An older configuration is not applied
    Then a directory with version 9 keeps it when version 8 arrives

  Scenario: Without a rollout order only the version that started first serves
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v2      | 200  | 10         |
    Then a is chosen 50 of 50 times

  Scenario: The new version of a rollout gets its traffic share
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v2      | 200  | 10         |
    When the traffic share of v2 is 60 permille in state running
    Then b is chosen 30 of 500 times

  Scenario: A version that was rolled back gets no requests
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v2      | 200  | 10         |
    When the traffic share of v2 is 0 permille in state rolled_back
    Then a is chosen 50 of 50 times

  Scenario Outline: A selector gives each version its traffic share
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | <of_a>  | 100  | 10         |
      | b    | <of_b>  | 200  | 10         |
    When a selector gives the stable version v1 90 and the new one v2 10 percent
    Then of 100 choices for its route <v1> are v1, <v2> are v2, <none> find no server

    Examples: Requests of a stable version without a server never go to v2.
      | of_a  | of_b  | v1  | v2 | none |
      | v1    | v2    | 90  | 10 | 0    |
      | v1    | v1    | 100 | 0  | 0    |
      | v2    | v2    | 0   | 10 | 90   |
      | v3    | v3    | 0   | 0  | 100  |

  Scenario Outline: The requests of a stable version without a server go to the stable ones
    # Guards against a new version that gets more than its traffic share.
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | <of_a>  | 100  | 10         |
      | b    | <of_b>  | 200  | 10         |
    When a selector gives the stable versions v1 60 and v3 30 and the new one v2 10 percent
    Then of 100 choices for its route <v1> are v1, <v2> are v2, <none> find no server

    Examples:
      | of_a | of_b | v1  | v2 | none |
      | v1   | v2   | 90  | 10 | 0    |
      | v1   | v1   | 100 | 0  | 0    |
      | v2   | v2   | 0   | 10 | 90   |

  Scenario: A selector uses only the targets of its label
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | 10         |
    When a selector's target label has the member i-2
    Then all 20 choices for its route are b

  Scenario: A server without a measured service time gets its share
    # Guards against a new server that gets no requests, and against daemons that
    # all send to it because they know nothing of it.
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | -          |
    Then b is chosen between 10 and 60 of 100 times

  Scenario: A peer that refused a request is not chosen during its cooldown
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | 50         |
    When the peer a has refused a request
    Then the next choice is b

  Scenario Outline: Another failure domain is chosen if only its server is likely to be on time
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 100        |
      | b    | v1      | 200  | 100        |
    When b is in another failure domain with a load of <load_b>
    And a has a load of <load_a> and has <refusal> a request
    Then the next choice of a request with <left> ms left is <choice>

    Examples:
      | load_a | load_b | refusal     | left | choice |
      | 0.5    | 0.0    | not refused | 200  | a      |
      | 2.0    | 0.5    | not refused | 250  | b      |
      | 2.0    | 1.5    | not refused | 250  | a      |
      | 2.0    | 0.2    | not refused | 450  | a      |
      | 1.0    | 1.5    | refused     | 400  | a      |
      | 1.0    | 0.2    | refused     | 200  | b      |

  Scenario Outline: Requests avoid a failing server that is alone in its failure domain
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | 10         |
    When b is in another failure domain with a load of 0.2
    And <failed> of the last 10 responses of a failed, <ago> seconds ago
    Then the next choice is <choice>

    Examples:
      | failed | ago | choice |
      | 0      | 0   | a      |
      | 6      | 0   | b      |
      | 6      | 9   | a      |

  Scenario: A choice in a large service compares a bounded number of servers
    # Guards against processor time that grows with the servers of all failure
    # domains.
    Given 30 servers in the own failure domain and 119 in others
    When 200 servers are chosen
    Then at most 38 servers were compared for each, and each remote one at times

  Scenario: A full server of another failure domain is not chosen
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
    When a is in another failure domain and is full
    Then no server is chosen

  Scenario: A request refused by another failure domain is not sent to a third one
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | 10         |
    When a and b are in two other failure domains and a was tried
    Then no further server is chosen

  Scenario Outline: The judge finds the fault of a bad version and none in a good one
    When the stable version fails <stable_failed> of <stable> requests and the new one <new_failed> of <new> at <factor> times the latency
    Then the verdict is <verdict>

    Examples:
      | stable | stable_failed | new | new_failed | factor | verdict |
      | 500    | 2             | 40  | 18         | 1      | failed  |
      | 500    | 2             | 40  | 1          | 1      | good    |
      | 500    | 200           | 40  | 16         | 1      | good    |
      | 500    | 2             | 40  | 0          | 8      | slow    |
      | 500    | 2             | 60  | 0          | 2      | good    |
      | 500    | 2             | 7   | 7          | 1      | good    |

  Scenario: A good version is rarely found bad
    Then of 300 simulated good versions at most 3 are found bad

  Scenario: A duplicate response to an earlier request is dropped
    When a duplicate response arrives before the response to a request
    Then the request gets its own response

  Scenario: The log buffer is bounded and logging never waits for the reader
    When 5000 log lines are written to a pipe that nobody reads
    Then writing took less than 1 second and the dropped lines were counted

  Scenario: Frequent changes of the store cost few calls to it
    # Guards against one call to the store for each change and each daemon when
    # all daemons start at once.
    Given a store in which an object changes every 5 milliseconds
    When a watcher that batches changes for 0.2 seconds runs for 1 second
    Then it made at most 12 calls and reported a change in the last 0.4 seconds

  Scenario: A storm of configurations costs one document for each fetch
    # Guards against a daemon that reads each of many versions of a large
    # document, so that the newest one arrives late and the link is full.
    Given a store whose document changes every 50 milliseconds
    When a watcher that skips versions runs for 2 seconds with pauses of 0.25
    Then it read at most 16 documents and reported one in the last 0.7 seconds

  Scenario: A peer with the configuration gets the other objects only
    When a peer with the same configuration and one with an older one ask for the state
    Then only the second one gets the configuration

  Scenario Outline: A daemon without the store compares versions with other failure domains
    # Guards against a failure domain without a path to the store that gets
    # changes from others only by chance.
    When a daemon among 9 local and 9 other peers compares versions 40 times and the store is <store>
    Then <least> to <most> of the comparisons are with another failure domain

    Examples:
      | store       | least | most |
      | available   | 0     | 12   |
      | unavailable | 20    | 20   |

  Scenario Outline: A daemon waits for the store before it fetches from a peer
    When a peer has a newer configuration and the store is <store>
    Then the daemon fetches it from the peer after <delay> seconds

    Examples:
      | store       | delay |
      | available   | 0.8   |
      | unavailable | 0.15  |

  Scenario Outline: A rollout that completes just before its deadline ends once
    # Guards against a holder that completes a rollout and rolls it back in the
    # same step because the deadline is less than a step away.
    Given a rollout in its last stage with <left> seconds left
    When the holder of the rollout decides
    Then the rollout states written are <states>

    Examples:
      | left | states      |
      | 5.0  | done        |
      | 0.2  | done        |

  Scenario Outline: A peer's header with a number that is not finite is ignored
    When a peer sends the versions "<number>,1" and the load "1,<number>"
    Then neither header is used

    Examples:
      | number |
      | inf    |
      | nan    |

  Scenario: A server whose only response was slow gets requests again
    # Guards against a server that is never tried again because of one response.
    Given servers whose first responses took 0.05, 0.01 and 0.01 seconds
    When 30 requests a second are sent for 30 seconds and each takes 0.01 seconds
    Then the first server got at least 100 of them
