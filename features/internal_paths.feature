Feature: Requests of callers never reach the interface between daemons

  Scenario: A caller asks for the paths of the peer protocol
    # Guards against responses of a daemon that pass for those of a server, and
    # against bodies of callers that are read as figures of a daemon.
    Given a mesh of 2 hosts
    When the server of the first host drains
    And a caller at the first host asks for each path of the peer protocol
    Then the second server ran each of these requests once and sent the response

  Scenario Outline: The daemon of another host answers a forwarded request itself
    # Guards against daemons of an earlier version, which answer a request for
    # such a path, while a mesh is updated host by host.
    When a daemon of an earlier version answers a <method> request with status <status>
    Then the caller gets 502 with an unknown outcome

    Examples:
      | method | status |
      | GET    | 200    |
      | POST   | 200    |
      | POST   | 400    |

  Scenario: A request that such a daemon has not run is sent to another server
    When a daemon of an earlier version answers requests and fences the attempts
    Then all callers get 200
