Feature: Requests that wait for a slot do not reach a server that has left

  Scenario Outline: Waiting requests leave a server together with the news that it leaves
    # Guards against requests that reach a server long after its leave was
    # acknowledged and get no response when it exits, while others are idle.
    When 2 <method> requests run and 3 wait at a server that <leaves> beside an idle one
    Then the 3 waiting requests were served by the other server within 0.5 seconds
    And the 2 running ones were served by the server that leaves

    Examples:
      | method | leaves                           |
      | POST   | drains                           |
      | GET    | drains                           |
      | POST   | deregisters                      |
      | GET    | deregisters                      |
      | POST   | says in a response that it leaves |
      | POST   | is stored as draining            |

  Scenario Outline: Requests of the same host leave its server's queue, too
    # Guards against a fix that covers requests of other daemons only.
    When a request of the same host waits for a slot of a server that <changes>
    Then it is refused as <refusal> within 0.1 seconds and reached no server

    Examples:
      | changes                | refusal      |
      | drains                 | draining     |
      | deregisters            | draining     |
      | gives way to another   | other-server |

  Scenario: A server that drains gets no request whose slot is granted at that moment
    # Guards against the iteration of the event loop between the grant of a slot
    # and the continuation of the request.
    When a slot becomes free together with the news that the server drains
    Then it is refused as draining within 0.1 seconds and reached no server

  Scenario: A server that drains gets no request that still opens a connection
    # Guards against a slow connection to the server, which may take longer than
    # the time in which a leaving server still takes requests.
    When the server drains while the connection of an admitted request opens
    Then it is refused as draining within 0.1 seconds and reached no server

  Scenario: Waiting requests are served after a restart of their server under its id
    # Guards against refusals of requests that the new process can serve.
    When 2 requests run and 3 wait at a server that restarts under its id
    Then all 5 requests were served, 2 of them at once by the new process

  Scenario Outline: A late heartbeat after a restart of the daemon does not undo a leave
    # Guards against a server that left and is in use again, because the process
    # that knew it has ended and a heartbeat sent before the leave arrives late.
    When a server <leaves>, its daemon restarts, and <count> late heartbeats come <order> the stored state
    Then the server is <state> there and gets no requests

    Examples:
      | leaves                            | count | order  | state    |
      | deregisters                       | 1     | before | gone     |
      | deregisters                       | 2     | before | gone     |
      | deregisters                       | 1     | after  | gone     |
      | drains                            | 1     | before | draining |
      | drains                            | 2     | before | draining |
      | says in a response that it leaves | 1     | before | draining |
      | says in a response that it leaves | 2     | after  | draining |

  Scenario: A new process of a server that left is used at once after such a restart
    When a server deregisters, its daemon restarts, and its next process starts before the stored state
    Then the next process gets requests

  Scenario: A heartbeat of a leaving server counts although a later one came before it
    # Guards against an order by the sequence alone, within an incarnation.
    When a heartbeat that says ready overtakes one that says draining
    Then the server is draining there and gets no requests
