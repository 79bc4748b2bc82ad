Feature: Servers name a limit, or that they leave, in their responses

  Scenario Outline: A server gets more requests than the limit that it names
    # Guards against daemons that do not know the limit of a server in need.
    Given a mesh of 3 hosts
    When the first server names the limit <limit>
    And callers send 90 requests a second for 8 seconds
    Then the first server got at most 1.5 times <rate> a second and 5 requests in 4 seconds
    And at least <percent>% of the requests succeeded

    Examples:
      | limit | rate | percent |
      | 10    | 10   | 97      |
      | 2.5   | 2.5  | 97      |
      | 0     | 0    | 97      |

  Scenario: A server that no longer names a limit gets no more requests than it
    Given a mesh of 3 hosts
    When the first server names the limit 0
    And callers send 30 requests a second for 2 seconds
    And the first server names no limit
    And callers send 30 requests a second for 6 seconds
    Then the first server got at least 60 requests since then

  Scenario: Requests beyond the limits of all servers wait for their deadline
    # Guards against requests that are held although no server takes them.
    Given a mesh of 3 hosts
    When all servers name the limit 8
    And callers send 60 requests a second for 7 seconds
    Then the first server got at most 1.5 times 8 a second and 5 requests in 4 seconds
    And at least 30% of the requests succeeded
    And the others were refused within 0.25 seconds and may return later

  Scenario: Waiting requests exceed a limit that the server names meanwhile
    # Guards against a limit that is looked at before the wait for a slot only.
    When a server with 4 slots names the limit 0.5 while 3 requests wait for it
    Then 4 of 7 requests ran and the others were refused within 0.5 seconds

  Scenario: A daemon that was restarted exceeds the limit of its server
    # Until its server has responded, a restarted daemon knows only what its peers
    # send along.
    When a daemon has 30 requests for a server whose limit of 4 a second only it knows
    Then the server ran at most 2 of them in 0.3 seconds

  Scenario Outline: A limit that a server names is decoded
    When a server names the limit <text> in a response
    Then its limit is <rate>

    Examples:
      | text   | rate    |
      | 10     | 10      |
      | 2.5    | 2.5     |
      | 0      | 0       |
      | inf    | inf     |
      | none   | unknown |
      | -1     | unknown |
      | nan    | unknown |
      | 10/s   | unknown |

  Scenario: Less urgent requests use up the limit of a server
    When 200 requests a second of priorities 0 and 2 arrive for a limit of 20 a second
    Then the server gets 4 times as many requests of priority 0 as of priority 2
    And it gets at most 20 a second and a burst

  Scenario: A server that says in its responses that it leaves gets requests
    Given a mesh of 2 hosts
    When the first server sends heartbeats every 20 seconds
    And it says in a response to a caller of the second host that it leaves
    Then 40 requests at each host succeed and none reaches the first server

  Scenario: A leaving server gets requests after a restart of the daemon beside it
    # The daemon that passed on the response remembers it by itself: neither the
    # restarted daemon nor the store knows of it.
    Given a mesh of 3 hosts
    When the store sends no responses
    And it says in a response to a caller of the second host that it leaves
    And the first daemon is killed and restarted
    And the restarted daemon has heard from its server
    Then 40 requests at the second host succeed and none reaches the first server

  Scenario: Senders beyond the limit of a server return at once
    # Guards against refused senders that return together: most of them are
    # refused again, and the limit is not used up in between.
    When 10 senders exceed a limit of 20 requests a second at the same time
    Then their turns are 0.05 seconds apart, none more than 2 seconds away
