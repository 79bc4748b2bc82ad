Feature: A request runs on a target and its caller gets the complete response

  Scenario: Each caller gets the response to its own request despite faults
    # Guards against responses sent to the wrong caller, refusals of requests
    # that ran, and non-idempotent requests that ran twice. Faulty targets and
    # connections that are cut at generated positions provoke them.
    When generated requests are sent over failing targets and connections
    Then each caller got the complete response to its own request, or none
    And no request that was refused as not run is in the log of a target
    And no non-idempotent request ran twice

  Scenario Outline: A truncated message is never taken for a complete one
    When <message> of a <method> request is cut off after each of its first bytes
    Then every caller got status <status> and outcome <outcome>
    And each of the requests ran <runs>

    Examples: The fence proves that a cut request between daemons was not run.
      | message               | method | status | outcome | runs          |
      | the target's response | POST   | 502    | unknown | once          |
      | the daemon's response | POST   | 502    | unknown | once          |
      | the daemon's request  | POST   | 200    | None    | once          |
      | the target's response | GET    | 200    | None    | at least once |

  Scenario: A response after the timeout is not delivered to a later request
    When requests that time out alternate with later requests
    Then the later requests got their own responses, the others unknown outcomes

  Scenario Outline: A duplicate response is not delivered to the next request
    When a target repeats its response after <ms> ms and gets another request
    Then every caller got status 200 and outcome None
    And the responses echo first second

    Examples:
      | ms |
      | 0  |
      | 10 |

  Scenario Outline: Bodies of each size and framing reach the caller complete
    When a caller requests <method> <path>
    Then the caller got status <status> and a body of <size> bytes

    Examples:
      | method | path                         | status | size    |
      | GET    | /a?bytes=300                 | 200    | 300     |
      | GET    | /a?bytes=300&body=chunked    | 200    | 300     |
      | GET    | /a?bytes=300&body=close      | 200    | 300     |
      | GET    | /a?bytes=65536               | 200    | 65536   |
      | GET    | /a?bytes=65537               | 200    | 65537   |
      | GET    | /a?bytes=3000000             | 200    | 3000000 |
      | GET    | /a?bytes=300000&body=chunked | 200    | 300000  |
      | GET    | /a?bytes=300000&body=close   | 200    | 300000  |
      | HEAD   | /a?bytes=300                 | 200    | 0       |
      | HEAD   | /a?bytes=300000              | 200    | 0       |
      | GET    | /a?status=204                | 204    | 0       |
      | GET    | /a?status=304                | 304    | 0       |
      | POST   | /a?status=500                | 500    | 200     |

  Scenario: Truncation of a forwarded response closes the caller's connection
    When large responses are cut off after their start was forwarded
    Then the callers got truncated responses
    And the responses were recorded as failed failed

  Scenario: A caller that does not read makes the target wait
    # Guards against a daemon that buffers a large response in its memory.
    When a caller starts to read a response of 60 million bytes after a delay
    Then most of it was still at the target, and the caller got all of it

  Scenario: The responses to pipelined requests are sent in the order of the requests
    When 30 pipelined requests are sent with decreasing service times
    Then the responses arrive in the order of the requests

  Scenario Outline: A malformed, oversized or incomplete request affects no other one
    When a request with <fault> is sent while another request runs
    Then its response has status <status> and the other response is complete

    Examples:
      | fault                         | status |
      | garbage                       | 400    |
      | two content lengths           | 400    |
      | a content length and chunks   | 400    |
      | an unknown transfer coding    | 501    |
      | a negative content length     | 400    |
      | a bare line feed in a header  | 400    |
      | no host header                | 400    |
      | two host headers              | 400    |
      | a large header                | 431    |
      | a header without end          | 431    |
      | a large body                  | 413    |
      | a large chunked body          | 413    |
      | a trailer without end         | 431    |
      | a chunk extension without end | 431    |
      | an incomplete header          | 408    |
      | an incomplete body            | 408    |

  Scenario: A caller that expects 100 Continue gets it before it sends the body
    When a caller sends request headers that expect 100 Continue
    Then the caller gets 100 Continue and then its response

  Scenario: Neither a caller nor a target can forge internal headers
    When a target responds to a POST request with the headers of a refusal
    Then every caller got status 200 and outcome None
    And each of the requests ran once
    When two callers send the same attempt identifier
    Then both requests ran under different identifiers

  Scenario: A draining daemon completes the requests that run and wait
    When the target's daemon drains while 10 requests run and 5 wait
    Then 15 requests got complete responses and 1 got not-run refusals

  Scenario: Requests that run past the drain deadline have an unknown outcome
    When the drain of the target's daemon ends while a request still runs
    Then every caller got status 502 and outcome unknown

  Scenario: The outcome is unknown if the fence request gets no response
    When the target's daemon becomes unreachable while a POST request runs
    Then every caller got status 502 and outcome unknown

  Scenario: A draining proxy completes the requests that it accepted
    When the proxy drains while 5 requests run
    Then 5 requests got complete responses and 0 got not-run refusals

  Scenario Outline: A request is cancelled when its caller disconnects
    # A caller that closes its socket sends the same packet as one that
    # half-closes it; without the cancellation its request would run to the end.
    When a caller <ends> its connection while its request runs
    Then the target sees the cancellation and the slot is free

    Examples:
      | ends   |
      | resets |
      | closes |

  Scenario: A cancelled request does not close the connection of the next one
    When a request is cancelled after its response, its connection is reused
    Then the next request on the connection gets its response

  Scenario: A request is not sent to another target after its caller has left
    # Guards against requests that reach a target long after their callers have
    # left, because the first target failed.
    When a caller closes its connection before the first target fails
    Then the targets ran 1 request in total

  Scenario: A request whose connection was closed before it was read is not sent
    # Guards against requests that reach a target long after their callers have
    # left, because a busy daemon starts them before it processes the close.
    When a daemon reads requests together with the closes of their connections
    Then the target ran none of the requests of closed connections

  Scenario: A waiting request whose connection was closed gets no free slot
    # Guards against the same late requests, from the queue of a busy daemon.
    When a slot becomes free together with the close of a waiting request
    Then the target ran none of the requests of closed connections
    And the slot is free

  Scenario: A request over a closed pool fails without a wait
    # Guards against connections of callers that are closed without a response,
    # because the process ends while a failed request waits to be sent again.
    When a request is sent over a pool that was closed
    Then it fails before the next iteration of the event loop

  Scenario: A client that may half-close its connection gets its response
    When a caller sends a request and half-closes its connection
    Then the caller got status 200 and a body of 200 bytes

  Scenario: A request that no target may run is refused as not run
    # The causes in the order of the requests: the target's daemon has another
    # server than the caller's daemon expects (as after a restart), no
    # configuration, no route, no time left, no target.
    When requests are sent that no target may run
    Then the responses are 503, 503, 404, 503 and 503 with outcome not-run

  Scenario Outline: Before its first configuration a daemon names when to return
    # Guards against callers that return several times while a daemon starts.
    When a daemon without a configuration gets a request with a timeout of <ms> ms
    Then the caller may return after <seconds> s

    Examples:
      | ms    | seconds |
      | 20000 | 0.100   |
      | 100   | 0.030   |

  Scenario: The limits on slots and connections are never exceeded
    When 200 requests arrive at once for a target with 6 slots
    Then at most 6 requests ran at once over at most 130 connections
    And each of the 200 requests succeeded or was refused as not run

  Scenario: A refused request is sent to another target
    # A draining target and a target that does not listen must not count as
    # failures of the version that they run.
    When one of three targets is draining and the process of another has ended
    Then every caller got status 200 and outcome None
    And each of the requests ran once
    And the responses were recorded as successful successful successful successful

  Scenario: Attempts that servers answer with 421 are outside the limits on retries
    # Guards against retries that reach servers without using the retry budget or
    # the attempts of the route.
    When 5 targets answer a request with 421
    Then the targets got the request 3 times

  Scenario: Response statistics and the failure fraction follow the outcomes
    When a target responds, fails, closes the connection and times out
    Then the responses were recorded as successful failed failed failed
    And the balancer's failure fraction is that of three failures, less the decay

  Scenario Outline: A timeout that is reported after the deadline is a failure of the target
    # The daemon of the target reports a timeout 5 ms before the deadline of the
    # caller's daemon. Guards against a balancer that prefers a target because
    # the reports of its timeouts come late. A daemon that gets a request with
    # less time than this does not send it to its target.
    When a target times out after <ms> ms and the report is 50 ms late
    Then the responses were recorded as <recorded>
    And the balancer's failure fraction is <fraction>

    Examples:
      | ms  | recorded | fraction |
      | 100 | failed   | 0.1      |
      | 4   | none     | 0.0      |

  Scenario Outline: A request whose caller has left is a failure after its deadline only
    # Guards against timeouts that are not counted, because a busy daemon
    # processes the close of the caller's daemon before its own deadline.
    When a daemon processes the close of a peer <ms> ms after its deadline
    Then the responses were recorded as <recorded>
    And the target is free, and <mean> service time was measured

    Examples:
      | ms   | recorded | mean |
      | 50   | failed   | a    |
      | -350 | none     | no   |

  Scenario: A target process completes its request and deregisters when it ends
    When a target process gets SIGTERM while it runs a request
    Then it announced itself, completed the request and deregistered

  Scenario Outline: Bytes without end from a server affect only their request
    # Guards against daemons that read on until the server stops: in their
    # memory, in the time of the event loop, and past the deadline.
    When a server sends <bytes> without end (<pace>)
    Then the caller gets <result> in time
    And the connection to the server is closed <closed>
    And the slot is free and the other requests get their own responses
    And the memory of the daemon stays bounded

    Examples: A deadline ends what is well-formed so far.
      | bytes                               | pace           | result               | closed          |
      | status line                         | full speed     | an unknown outcome   | at once         |
      | header name                         | full speed     | an unknown outcome   | at once         |
      | header line                         | full speed     | an unknown outcome   | at once         |
      | header lines                        | full speed     | an unknown outcome   | at once         |
      | interim responses                   | full speed     | an unknown outcome   | at once         |
      | responses to another request        | full speed     | an unknown outcome   | at once         |
      | empty lines                         | full speed     | an unknown outcome   | at once         |
      | garbage                             | full speed     | an unknown outcome   | at once         |
      | bytes after the body                | full speed     | the response         | at once         |
      | responses after the response        | full speed     | the response         | at once         |
      | bytes after a large body            | full speed     | the large response   | at once         |
      | body without length                 | full speed     | a truncated response | by the deadline |
      | body with a length                  | full speed     | a truncated response | by the deadline |
      | chunks                              | full speed     | a truncated response | by the deadline |
      | small chunks                        | full speed     | a truncated response | by the deadline |
      | chunk size                          | full speed     | an unknown outcome   | at once         |
      | chunk extension                     | full speed     | an unknown outcome   | at once         |
      | chunk extension after a large chunk | full speed     | a truncated response | at once         |
      | trailer line                        | full speed     | an unknown outcome   | at once         |
      | trailer line after a large chunk    | full speed     | a truncated response | at once         |
      | trailer lines                       | full speed     | an unknown outcome   | at once         |
      | body of a refusal                   | full speed     | a refusal            | at once         |
      | body of another server              | full speed     | a refusal            | at once         |
      | body without signature              | full speed     | an unknown outcome   | at once         |
      | header line                         | byte by byte   | an unknown outcome   | by the deadline |
      | interim responses                   | byte by byte   | an unknown outcome   | by the deadline |
      | garbage                             | byte by byte   | an unknown outcome   | at once         |
      | interim responses                   | piece by piece | an unknown outcome   | at once         |
      | responses to another request        | piece by piece | an unknown outcome   | at once         |
      | bytes after the body                | byte by byte   | the response         | at once         |
      | body without length                 | byte by byte   | an unknown outcome   | by the deadline |
      | chunks                              | byte by byte   | an unknown outcome   | by the deadline |
      | trailer line                        | byte by byte   | an unknown outcome   | by the deadline |

  Scenario: Small chunks without end take little processor time
    # Guards against daemons that spend their time on the chunks of one response
    # while other requests wait.
    When a server sends small chunks without end (full speed)
    Then the caller gets a truncated response in time
    And the daemon has read at most 200000 chunks a second

  Scenario: A response of many small chunks arrives whole, and the next one, too
    When a server sends two responses of 150000 chunks on a connection
    Then the caller gets all bytes of both
    And reading them took as long as the rate of chunks demands

  Scenario: A body of small chunks stays paused while its reader waits
    When the reader of a body of small chunks stops reading for 0.3 s
    Then it gets nothing in that time, and more after it

  Scenario: A request that the daemon of its caller gives up first frees its slot
    When a server sends header line without end to a request that arrives late
    Then the caller gets an unknown outcome in time
    And the connection to the server is closed by the deadline
    And the slot is free and the other requests get their own responses

  Scenario Outline: The time left is that of the moment at which a request is sent
    # Guards against servers and daemons that work on for a caller that has left.
    When opening the connection to the <receiver> takes 0.3 s
    Then the server is not told more time than the caller waits

    Examples:
      | receiver |
      | daemon   |
      | server   |

  Scenario Outline: Bytes on an idle connection belong to no request
    When a server sends <bytes> on an idle connection and a request is sent <when>
    Then each request gets its own response
    And the connection to the server is closed at once

    Examples:
      | bytes                               | when                 |
      | garbage                             | after they were read |
      | garbage                             | before they are read |
      | signed responses without identifier | after they were read |
      | signed responses without identifier | before they are read |

  Scenario Outline: A response without end is not taken for a complete one
    When <client> gets <bytes> without end
    Then it reports a failure in time
    And the connection to the server is closed <closed>

    Examples: The deadlines are 0.5 s, 1.5 s and 1 s.
      | client           | bytes                  | closed          |
      | the health check | body of a health check | by the deadline |
      | the store client | object of the store    | by the deadline |
      | the state sync   | state of a peer        | by the deadline |
      | the health check | header lines           | at once         |
      | the store client | garbage                | at once         |
      | the state sync   | trailer line           | at once         |

  Scenario Outline: Bytes without end are not read for a caller that does not read
    When a server sends <bytes> without end to a caller that does not read
    Then the bytes that the caller does not read stay at the server
    And the connection to the server is closed by the deadline
    And the slot is free and the other requests get their own responses
    And the memory of the daemon stays bounded

    Examples:
      | bytes               |
      | body without length |
      | small chunks        |
