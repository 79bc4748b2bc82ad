Feature: Requests need the key of an organisation

  Scenario Outline: A request claims an organisation in its headers
    # Guards against headers that one reader takes for a key and another does not.
    Given a configuration with the organisation acme and its key k1
    When a request has the headers <headers>
    Then the access verdict is <verdict>

    Examples:
      | headers                                                | verdict        |
      | Authorization: Bearer k1                               | served as acme |
      | Authorization: bearer k1                               | served as acme |
      | AUTHORIZATION:   Bearer   k1                           | served as acme |
      | none                                                   | denied         |
      | Authorization: Bearer k2                               | denied         |
      | Authorization: Bearer K1                               | denied         |
      | Authorization: Bearer k1; Authorization: Bearer k1     | denied         |
      | Authorization: Bearer k1; Authorization: Basic a       | denied         |
      | Authorization: Basic k1                                | denied         |
      | Authorization: Bearerk1                                | denied         |
      | Authorization: k1                                      | denied         |
      | Authorization: Bearer                                  | denied         |
      | Authorization:                                         | denied         |
      | Authorization: Bearer k1 k1                            | denied         |
      | Authorization: Bearer \xff\xfe                         | denied         |
      | X-Tenant: acme                                         | denied         |

  Scenario: A key fills the largest header
    Given a configuration with the organisation acme and its key k1
    When a request has a key of 16000 bytes
    Then the access verdict is denied

  Scenario Outline: What is known of keys has an age
    # 401 claims that no configuration in force has the key.
    Given a configuration with the organisation acme and its key k1
    When the configuration was confirmed <age> seconds ago and keys are withdrawn within <limit> seconds
    Then a request with the key k1 is <known>
    And a request with the key k2 is <unknown>
    And a request without a key on an open route is served
    And a nested request without a key is served

    Examples:
      | age | limit | known          | unknown  |
      | 0   | 5     | served as acme | denied   |
      | 2.5 | 5     | served as acme | unproved |
      | 3.9 | 5     | served as acme | unproved |
      | 4.1 | 5     | unproved       | unproved |
      | inf | 5     | unproved       | unproved |
      | inf | inf   | served as acme | unproved |

  Scenario: Without organisations in the configuration keys have no meaning
    Given a configuration without organisations
    When a request has the headers Authorization: Bearer k1; X-Tenant: acme
    Then the access verdict is served without an organisation
    And its headers reach the server unchanged

  Scenario Outline: An invalid organisation is refused as a whole
    When a configuration has an organisation with <fault>
    Then it is refused by a message that names <named> and no key

    Examples:
      | fault                        | named    |
      | an empty name                | Name     |
      | an empty key                 | ApiKeys  |
      | a key with a space           | ApiKeys  |
      | a key with a line break      | ApiKeys  |
      | a key that is a number       | ApiKeys  |
      | keys that are a text         | ApiKeys  |
      | a key of another one         | ApiKeys  |
      | the name of another one      | Tenants  |
      | a negative rate              | RatePerS |
      | a textual rate               | RatePerS |
      | an infinite rate             | RatePerS |
      | a negative burst             | Burst    |
      | a textual priority           | Priority |

  Scenario Outline: A malformed configuration is refused without its keys in the message
    # The message is logged, and the malformed part may hold keys.
    When a configuration has <part> in another form around an organisation
    Then it is refused by a message that names <named> and no key

    Examples:
      | part          | named     |
      | a Spec        | Spec      |
      | the Resources | Resources |
      | an entry      | Resources |
      | the Metadata  | Metadata  |

  Scenario: An organisation may have neither keys nor a limit
    When a configuration has an organisation with neither keys nor a limit
    Then it is decoded and no key is known

  Scenario: The priority of an organisation goes before that of the route
    When a route of priority 2 gets requests of organisations of priority 0 and of none
    Then the requests have the priorities 0 and 2

  Scenario: A suspended host proves nothing with what it knew before
    # The monotonic clock stands still meanwhile.
    Given a configuration that was confirmed 1 second ago
    When the host is suspended for 10 seconds
    Then the configuration counts as unconfirmed
    And a response to a read from before the suspension confirms nothing
    And a read after it confirms the configuration

  Scenario Outline: A client elsewhere uses the identifier of a running request
    # Only the daemon's own host has the server that may send calls without a key.
    When a client of <place> sends a request without a key that names a running request
    Then it gets the status <status>

    Examples:
      | place        | status |
      | the own host | 200    |
      | another host | 401    |

  Scenario: Keys, names and withdrawals over processes
    # Guards against keys that leave the daemon of the caller's host.
    Given a mesh of 2 hosts with the organisation acme and its keys k-first and k-second
    Then a request with the key k-first reaches a server as acme without its key
    And a request without a key gets 401 with a challenge and reaches no server
    And a request that claims to be acme on an open route reaches a server as nobody
    And a call of a server needs no key, and a client that looks like one gets 401
    When the operator withdraws the key k-first
    Then 2.5 seconds later requests with k-first get 401 and those with k-second are served
    And no log, metric or time line contains a key

  Scenario: A key is withdrawn while all daemons are cut off from the store
    # The rule binds machines that are out of touch, too.
    Given a mesh of 2 hosts with the organisation acme and its keys k-first and k-second
    When the store stops responding to the daemons and the operator withdraws k-first
    Then requests with k-first run for 2 seconds after that
    And none that is sent later than 5 seconds after that runs
    And those with k-second are refused with a time to return
    When the daemons reach the store again
    Then requests with k-second are served and those with k-first get 401

  Scenario: A daemon starts while the store is down
    # The configuration of a peer has no proof.
    Given a mesh of 2 hosts with the organisation acme and its keys k-first and k-second
    When the store stops responding for 5 seconds and the first daemon restarts
    Then requests with k-first at the restarted daemon do not run
