Feature: Daemons, servers and a store as separate processes

  Scenario: A request runs on a server and its response reaches the caller
    Given a mesh of 2 hosts
    Then a request at each host runs once and gets its own response
    And the server gets the service name of the caller's host
    And the metrics of a daemon can be read

  Scenario: A request that matches no route gets 404
    Given a mesh of 1 hosts
    Then a request that matches no route gets 404 and reaches no server

  Scenario: A new configuration is in force on every daemon in time
    Given a mesh of 3 hosts
    When the operator adds a route
    Then every daemon serves the new route within 2 seconds

  Scenario: A configuration of more than 64 KiB is applied completely
    Given a mesh of 2 hosts
    When the operator adds 600 routes
    Then every daemon serves the new route within 2 seconds

  Scenario: A body of the configured size reaches a server of another host
    # Guards against limits that apply to callers but not between daemons.
    Given a mesh of 2 hosts
    When the operator allows bodies of 4 MB and the server of the first host drains
    Then a request with a body of 3 MB at the first host is served

  Scenario: An invalid configuration leaves the previous one in force
    Given a mesh of 1 hosts
    When the operator writes an invalid configuration
    Then the previous configuration stays in force and the refusal is logged

  Scenario: A draining server gets no requests from any daemon
    Given a mesh of 2 hosts
    When the server of the first host drains
    Then 40 requests at each host succeed and none reaches the first server

  Scenario: A server that drains during a store outage gets no requests
    Given a mesh of 2 hosts
    When the store sends no responses
    And the server of the first host drains
    Then 40 requests at each host succeed and none reaches the first server

  Scenario: No request fails because of a crashed server while another one runs
    Given a mesh of 2 hosts
    When the server of the first host crashes
    Then 20 requests at each host succeed

  Scenario: Requests succeed while the store is down
    Given a mesh of 2 hosts
    When the store is down
    Then 20 requests at each host succeed

  Scenario: A daemon that starts while the store is down gets state from peers
    Given a mesh of 3 hosts
    When the store is down
    And the second daemon is killed and restarted
    Then the restarted daemon serves within 5 seconds

  Scenario: A restarted daemon uses its running server before a heartbeat
    Given a mesh of 1 hosts
    When the first server sends heartbeats every 20 seconds
    And the first daemon is killed and restarted
    Then the restarted daemon serves within 4 seconds

  Scenario: A restarted daemon sends no requests to a draining server
    Given a mesh of 2 hosts
    When the server of the first host drains
    And the first server sends heartbeats every 20 seconds
    And the first daemon is killed and restarted
    Then 40 requests at each host succeed and none reaches the first server

  Scenario: A server that leaves before its restarted daemon knows it gets no requests
    Given a mesh of 2 hosts
    When the first server sends heartbeats every 20 seconds
    And the store sends no responses
    And the first daemon is killed and restarted
    And the first server leaves without draining
    And the store responds again
    Then 40 requests at each host succeed and none reaches the first server

  Scenario: A late heartbeat at a restarted daemon does not undo a leave
    # Guards against a stored leave that a restarted daemon overwrites once the
    # store is back, so that all daemons use the server again.
    Given a mesh of 2 hosts
    When the first server sends heartbeats every 20 seconds
    And the first server leaves without draining
    And the store is down
    And the first daemon is killed and restarted
    And 2 late heartbeats of the first server arrive
    And the store responds again
    Then 40 requests at each host succeed and none reaches the first server

  @known_red
  Scenario: A late heartbeat does not undo a leave that was never stored
    # Guards against a leave that only the killed process of the daemon knew.
    Given a mesh of 2 hosts
    When the first server sends heartbeats every 20 seconds
    And the store sends no responses
    And the first server leaves without draining
    And the health check of the first server fails
    And the first daemon is killed and restarted
    And the store responds again
    And 2 late heartbeats of the first server arrive
    Then the first server gets no request after 0.5 seconds

  Scenario: A stopping daemon serves peers until callers stop sending to it
    Given a mesh of 2 hosts
    When the server of the first host drains
    And the second daemon gets SIGTERM
    Then requests at the first host succeed for 2 seconds

  Scenario: Daemons apply changes after the store has lost its history
    Given a mesh of 2 hosts
    When the store loses its history
    And the operator adds a route
    Then every daemon serves the new route within 3 seconds

  Scenario: A member is stored although responses to writes are lost
    Given a mesh of 1 hosts
    When the next 2 responses of the store to writes are lost
    And another host starts
    Then the first daemon applies the member of the new host

  Scenario: A stopping daemon completes the requests that it has read
    Given a mesh of 2 hosts
    When the second daemon is stopped under load
    Then none of the requests that it has read failed

  Scenario: A request that arrives late in a shutdown is not given up
    Given a mesh of 2 hosts
    When the second daemon is stopped while callers send it requests of 2 seconds
    Then each of these requests got its response or a refusal before it ran

  Scenario: A request of a peer that arrives late in a shutdown is not given up
    Given a mesh of 2 hosts
    When the server of the first host drains
    And the second daemon is stopped while callers of the first send requests of 2.8 seconds
    Then each of these requests got its response or a refusal before it ran

  Scenario: A response that its caller reads late in a shutdown is complete
    Given a mesh of 1 hosts
    When the first daemon is stopped while a caller waits 4 seconds to read a response of 3 MB
    Then the caller gets the whole response

  Scenario: A request that is interrupted at the end of a shutdown gets a response
    Given a mesh of 1 hosts
    When the first daemon is stopped while 6 requests of 7 seconds run or wait for its server
    Then the requests that ran get 502 and the others 503

  Scenario: A connection that waits when the listener closes is not reset
    Given a mesh of 1 hosts
    When 12 callers connect while the first daemon closes its listener
    Then each of these callers gets a response

  Scenario: A request that arrives while a slow reader delays the end is not given up
    Given a mesh of 2 hosts
    When the first daemon is stopped while a caller reads late and another one sends a body slowly
    Then the request with that body gets its response or a refusal before it ran

  Scenario: A request whose body is under way when a daemon stops gets an answer
    Given a mesh of 1 hosts
    When the first daemon is stopped while a caller needs 2.5 seconds to send a body
    Then the request with that body gets its response or a refusal before it ran

  Scenario: A stopping daemon answers pipelined requests that it has read
    Given a mesh of 1 hosts
    When the first daemon is stopped while a connection has 3 pipelined requests
    Then all 3 of them get an answer

  Scenario: A short grace period is used up to its last sixth
    Given a mesh of 1 hosts
    When the first daemon has a grace period of 2 seconds and is stopped beside a request of 1.6 seconds
    Then that request gets its response

  Scenario: A stopped daemon does not wait for the clean-up of the interpreter
    # Guards against a process that is killed at the end of its grace period
    # although it has finished all requests.
    Given a mesh of 1 hosts
    When a daemon whose interpreter takes 10 seconds to clean up gets SIGTERM
    Then it ends within its grace period

  Scenario: A stopping daemon serves the calls of the requests that it has accepted
    Given a mesh of 2 hosts
    When the server calls another service 2.9 seconds after SIGTERM for a running request
    Then that call is served

  Scenario: SIGHUP while a daemon starts does not end it
    Given a mesh of 1 hosts
    When the first daemon is restarted and gets SIGHUP while it imports modules
    Then the daemon serves and has not ended

  Scenario: An unknown object of the store ends no daemon
    Given a mesh of 1 hosts
    When an object with an unknown name is created and deleted beside a request of 2.5 seconds
    Then that request gets its response

  Scenario: A non-idempotent request runs once when its response is lost
    Given a mesh of 2 hosts
    When the servers run requests and send no responses
    Then a non-idempotent request runs once and gets 504 within 1.25 seconds

  Scenario: A duplicate response to an earlier request reaches no caller
    Given a mesh of 1 hosts
    When the servers send duplicate responses to earlier requests
    Then 40 requests over reused connections get their own responses or 502

  @known_red
  Scenario Outline: Endless responses through two daemons affect no other request
    Given a mesh of 2 hosts
    When 2 requests of 1 s at each host get <bytes> without end
    Then each of them ends in time, and none looks complete
    And the connection to the server is closed <closed>
    And the other requests get their own responses

    Examples:
      | bytes               | closed          |
      | body without length | by the deadline |
      | small chunks        | by the deadline |
      | trailer line        | at once         |

  Scenario Outline: Endless responses through two daemons lose no other request
    # Runs also beside load: waits for a processor are taken off the times of the
    # other requests, and all of them have to succeed.
    Given a mesh of 2 hosts
    And callers of other requests that allow 4 s
    When 2 requests of 1 s at each host get <bytes> without end
    Then each of them ends in time, and none looks complete
    And the connection to the server is closed <closed>
    And the other requests get their own responses without a delay

    Examples:
      | bytes               | closed          |
      | body without length | by the deadline |
      | small chunks        | by the deadline |
      | trailer line        | at once         |

  Scenario: Endless responses in all slots leave memory for other requests
    # Guards against buffers that exceed the memory of the smallest host, 200 MB.
    Given a mesh of 2 hosts
    When 18 requests of 2 s at each host get body without length without end
    Then each of them ends in time, and none looks complete
    And the connection to the server is closed by the deadline
    And the other requests end in time, and none gets another response
    And no daemon uses more than 200 MB of memory

  Scenario: A bad version is rolled back
    Given a mesh of 2 hosts
    When a host starts whose server runs a failing version
    And the operator orders a rollout to that version within 12 seconds
    Then the rollout is rolled_back and the version got at most 15% of the requests

  Scenario: The rollout of a good version completes in time
    Given a mesh of 2 hosts
    When two hosts start whose servers run a good version
    And the operator orders a rollout to that version within 12 seconds
    Then the rollout is completed and only the new version gets requests

  Scenario: Changed settings are reloaded without a signal
    Given a mesh of 1 hosts
    When the retry ratio in the daemon's settings changes
    Then the daemon reloads its settings without a signal

  Scenario: Invalid settings leave the previous ones in force
    Given a mesh of 1 hosts
    When the daemon's settings file is replaced by bytes that are not JSON
    And the daemon gets SIGHUP
    Then the refusal of the settings is logged and requests succeed

  Scenario Outline: An invalid announcement is refused with the field's name
    Given a mesh of 1 hosts
    When a target announces itself with <fault>
    Then the announcement is refused with a message that names <field>

    Examples:
      | fault           | field   |
      | no version      | version |
      | no slots        | slots   |
      | an unknown key  | color   |
