Feature: A new configuration is in force on every daemon in time

  The store acknowledges a version and each daemon has to serve it within 2.0
  seconds, `ConfigApplyMs` of the users' smaller sites. Reads with `Serializable`
  may return data that is seconds old; the store's page doesn't say whether
  `CurrentRev` in such a response is that of the data or the newest one.

  Scenario: Added routes are in force in time although cheap reads are old
    # Guards against a daemon that knows only what reads with Serializable return.
    Given a mesh with hosts in 3 failure domains, 2 in each
    When cheap reads of the store are 3 seconds behind
    And a route is added 3 times
    Then each daemon served each route within 2.0 seconds

  Scenario: The last of several quick changes is not lost
    # Guards against a watch that continues from the counter of an older list.
    Given a mesh with hosts in 3 failure domains, 2 in each
    When cheap lists of the store are 3 seconds behind its counter
    And a route is added 2 times, each time as the last of 7 versions within 0.4 seconds
    Then each daemon served each route within 2.0 seconds

  Scenario: A change right after one that a watch returns late is not lost
    # Guards against a watch that continues from a counter newer than its events.
    Given a mesh with hosts in 3 failure domains, 2 in each
    When cheap reads of the store are 3 seconds behind its counter
    And a route is added 1 times, each time as the last of 2 versions within 1.0 seconds
    Then each daemon served each route within 2.0 seconds

  Scenario: Silent connections to the store do not delay a failure domain
    # Guards against a failure domain that waits on watches that return nothing.
    Given a mesh with hosts in 3 failure domains, 2 in each
    When a route is added while the open connections of one failure domain to the store are silent, for each domain in turn
    Then each daemon served each route within 2.0 seconds

  Scenario: A failure domain that the store no longer answers follows the others
    # Guards against daemons that wait for the store before they ask a peer.
    Given a mesh with hosts in 3 failure domains, 2 in each
    When a route is added 3 seconds after the store has fallen silent for one failure domain, for each domain in turn
    Then each daemon served each route within 6.0 seconds

  Scenario: Quick versions of a large configuration reach a daemon as one
    # Guards against a read that returns each version that a lagging watch lacks.
    When a daemon with a lagging watch hears of the last of 5 quick versions
    Then it reads the newest one only, within 1.0 seconds

  Scenario: A change right after the store has dropped its history is not lost
    # Guards against an old list in place of the current one after a 410.
    Given a mesh with hosts in 3 failure domains, 2 in each
    When cheap lists of the store are 3 seconds behind its counter
    And a route is added 2 times, each time right after the store has dropped its history
    Then each daemon served each route within 2.0 seconds

  Scenario Outline: The counter of an old response does not hide a change
    # Guards against a watch that continues from a counter newer than the data.
    When <response> of the kind <kind> has a counter that is newer than its data
    Then the watcher gets the change between the two

      Examples: Responses that lag
      | kind   | response                     |
      | config | an empty watch response      |
      | config | a watch response             |
      | config | the list after quick changes |
      | config | the list after a failure     |
      | mesh   | an empty watch response      |
      | mesh   | a watch response             |

    Examples: Lists that do not lag
      | kind   | response                      |
      | config | the list after a lost history |
      | mesh   | the list after a lost history |

  Scenario: The first daemon of a failure domain is killed right before a change
    # Guards against daemons that wait for the one that asks the store for them.
    Given a mesh with hosts in 3 failure domains, 3 in each
    When cheap reads of the store are 3 seconds behind
    And a route is added right after the first daemon of each failure domain is killed
    Then each running daemon served each route within 2.0 seconds

  Scenario: Few daemons ask the store while nothing changes
    # Guards against reads of the store that grow with the number of daemons.
    Given a mesh with hosts in 2 failure domains, 5 in each
    When nothing changes for 5 seconds
    Then the store has got at most 14 calls a second

  Scenario: Few daemons ask a slow store
    # Guards against daemons that take slow reads for the loss of the others.
    Given a mesh with hosts in 2 failure domains, 5 in each
    When each call to the store takes 0.4 seconds longer
    And nothing changes for 5 seconds
    Then the store has got at most 8 calls a second

  Scenario Outline: Confirmations reach each daemon in few steps
    # Guards against one daemon that all others ask, and against long chains.
    Given a failure domain of <daemons> daemons
    Then one of them asks the store, and each is asked by at most 16 others
    And the longest way to the store has <steps> steps

    Examples:
      | daemons | steps |
      | 1       | 0     |
      | 17      | 1     |
      | 26      | 2     |
      | 745     | 3     |

  Scenario: A confirmation counts once its version is in force
    # Guards against a daemon that is confirmed by a peer with a newer version.
    Given a daemon with version 5 of the configuration
    When a peer confirms version 6 of 0.2 seconds ago
    Then the configuration of the daemon is not confirmed
    When version 6 comes into force
    Then the configuration of the daemon was confirmed 0.2 seconds ago
    When a peer confirms version 5 of 0.1 seconds ago
    Then the configuration of the daemon was confirmed 0.1 seconds ago

  Scenario: Confirmations of quick versions count one by one
    # Guards against a daemon that is never confirmed while versions follow.
    Given a daemon with version 5 of the configuration
    When a peer confirms version 6 of 0.3 seconds ago
    And a peer confirms version 7 of 0.1 seconds ago
    And version 6 comes into force
    Then the configuration of the daemon was confirmed 0.3 seconds ago

  Scenario: A watch that returns quick versions late but in time is left alone
    # Guards against reads of the store by all daemons during quick changes.
    When a daemon hears of 8 versions 0.3 seconds apart, which its watch returns 0.5 seconds later
    Then it does not read the store

  Scenario: The age that a peer states counts from the request
    # Guards against an old response that is taken for a recent confirmation.
    When a peer responds after 3 seconds that its configuration is 0.1 seconds old
    Then the confirmation is at least 3.1 seconds old

  Scenario: Daemons do not ask the store all at once after a change
    # Guards against reads without lag of all daemons in the same second.
    When 200 watchers have got the same change
    Then at most a quarter of their next reads without lag fall into one second

  Scenario: A deletion with the revision of an earlier change is read twice at most
    # Guards against a watch that asks for the same change again and again.
    When a watch returns the deletion of an object with the revision of its last change
    Then the change is handled 1 to 2 times

  Scenario: A version that was heard beside another fetch is not forgotten
    # Guards against a message that is dropped while another one is under way.
    Given a daemon that fetches mesh objects from a silent peer
    When it hears of version 3 of the configuration and then of version 2
    Then it has version 3 within 1.0 seconds

  Scenario: An own write does not hide an older change
    # Guards against the highest known revision taken for a complete state.
    Given a daemon whose watch is at revision 449 and that has written revision 451
    When a peer with revision 451 of the mesh objects is heard
    Then the daemon fetches the state of that peer

  Scenario Outline: A malformed response of the store is a failed read
    # Guards against a daemon that ends because of one response.
    When the store responds to a <call> with <response>
    Then the read has failed as unavailable

    Examples:
      | call    | response                   |
      | list    | 200 and no body            |
      | watch   | 200 and no body            |
      | changes | 200 and no body            |
      | changes | 200 and a list             |
      | watch   | 200 and no counter         |
      | changes | 404 and no body            |

  Scenario: A read that began in a silence of the store delays the next one little
    # Guards against a bound after a fault that leaves out the daemon's own pause.
    When the store falls silent, and its silence ends right after the start of a read, 160 times
    Then the configuration was confirmed within 3.0 seconds each time

  Scenario: Silent peers do not delay the reads of the store
    # Guards against a read of the store that waits for a response of a peer.
    When the store and the peers fall silent, and its silence ends right after the start of a read, 160 times
    Then the configuration was confirmed within 3.0 seconds each time

  Scenario: A daemon that cannot confirm its configuration denies no route
    # Guards against 404, which callers do not send again, for an added route.
    Given a mesh with hosts in 1 failure domains, 1 in each
    When a route is added after the store has fallen silent, and 3 seconds pass
    Then a request for the added route gets 503 and a time to return
    When the store is no longer silent
    Then each daemon serves the route within 3.0 seconds
    And a request without a route gets 404

  Scenario: Versions of a large configuration reach a host with a small link
    # Guards against transfers of one configuration that share a link, are all cut
    # off at their timeouts and begin again from the start.
    Given a mesh with hosts in 2 failure domains, 1 in each
    And the links of the first failure domain carry 2 Mbit/s
    When 4 versions of a configuration of 2000 routes follow 2.5 seconds apart, and a route is added by the last one
    Then each daemon served each route within 6.0 seconds

  Scenario: While a configuration arrives, no other one is asked for
    # Guards against transfers of one configuration that slow each other down.
    When a daemon hears of a version while the store sends it one for 2.5 seconds
    Then it asks neither the store nor a peer for a configuration before the end

  Scenario: Mesh objects are fetched without the configuration
    # Guards against a large configuration that comes with each fetch.
    When a daemon that lacks a version and a mesh object fetches the object
    Then the state that the peer sends has the object and no configuration

  Scenario Outline: The state of a peer is given up by its pauses, not by its length
    # Guards against a fetch from a peer that is cut off and begun again.
    When a peer sends its state in <pieces> pieces, <pause> seconds apart
    Then the fetch has <result> after <least> to <most> seconds

    Examples:
      | pieces | pause | result    | least | most |
      | 12     | 0.2   | succeeded | 2.2   | 3.2  |
      | 3      | 1.5   | failed    | 0.9   | 1.4  |
