Feature: Each request reaches a target and gets its own complete answer

  Scenario: Answers belong to their requests whatever breaks
    # Guards against crossed answers, false refusals and double runs.
    When generated histories of faults and cut connections are played
    Then no caller got a part of an answer or another one's
    And no request that was refused as not run is in a target's log
    And no non-idempotent request ran twice

  Scenario: An answer cut at any byte is never taken for a complete one
    When the target's answer to a POST is cut at each byte
    Then each caller is told that the outcome is unknown
    And each of the requests ran once

  Scenario: A request cut at any byte between the daemons runs at most once
    When a POST to the admission side is cut at each byte
    Then each caller got the answer, because a fence proved that none ran
    And each of the requests ran once

  Scenario: An answer cut at any byte between the daemons is not asked for again
    When the admission side's answer to a POST is cut at each byte
    Then each caller is told that the outcome is unknown
    And each of the requests ran once

  Scenario: An idempotent request survives a cut answer
    When the target's answer to a GET is cut at each byte
    Then each caller got the answer

  Scenario: A late answer does not meet a later request
    When requests whose answers come too late alternate with quick ones
    Then the quick ones got their own answers
    And the late ones were reported as unknown

  Scenario Outline: A second answer to a request does not meet the next one
    When a target answers a request again after <ms> ms and then gets another
    Then the second request got its own answer and both ran once

    Examples:
      | ms |
      | 0  |
      | 10 |

  Scenario Outline: Bodies pass in every form
    When <method> <target> is requested
    Then the answer has status <status> and <size> bytes

    Examples:
      | method | target                      | status | size    |
      | GET    | /a?bytes=300                | 200    | 300     |
      | GET    | /a?bytes=300&body=chunked   | 200    | 300     |
      | GET    | /a?bytes=300&body=close     | 200    | 300     |
      | GET    | /a?bytes=65536              | 200    | 65536   |
      | GET    | /a?bytes=65537              | 200    | 65537   |
      | GET    | /a?bytes=3000000            | 200    | 3000000 |
      | GET    | /a?bytes=300000&body=chunked | 200   | 300000  |
      | GET    | /a?bytes=300000&body=close  | 200    | 300000  |
      | HEAD   | /a?bytes=300                | 200    | 0       |
      | HEAD   | /a?bytes=300000             | 200    | 0       |
      | GET    | /a?status=204               | 204    | 0       |
      | GET    | /a?status=304               | 304    | 0       |
      | POST   | /a?status=500               | 500    | 200     |

  Scenario: A cut large answer ends with the caller's connection
    When a large answer is cut after its beginning was passed on
    Then the caller sees a cut answer

  Scenario: A caller that does not read holds back the target
    # Guards against a large answer piling up in a daemon's memory.
    When a caller reads nothing of an answer of 60 million bytes
    Then most of it is still at the target
    When the caller reads on
    Then it gets all of it

  Scenario: Pipelined requests are answered in their order
    When 30 requests are sent ahead with falling service times
    Then their answers come in the order of the requests

  Scenario Outline: A bad request is refused and harms no other
    When a request with <fault> is sent while another runs
    Then it is answered with <status> and the other is complete

    Examples:
      | fault                    | status |
      | garbage                  | 400    |
      | two lengths              | 400    |
      | length and chunks        | 400    |
      | unknown transfer coding  | 501    |
      | a negative length        | 400    |
      | a bare line feed in it   | 400    |
      | no host                  | 400    |
      | two hosts                | 400    |
      | a large header           | 431    |
      | a header without end     | 431    |
      | a large body             | 413    |
      | a large chunked body     | 413    |
      | half a header            | 408    |
      | half a body              | 408    |

  Scenario: A caller that waits for 100 Continue is told to go on
    When a body is announced with an expectation
    Then the caller is told to continue and then gets its answer

  Scenario: Neither a caller nor a target can forge an outcome
    When a target answers a POST with the headers of a refusal
    Then the caller gets that answer without them, and it ran once
    When two callers send the same identifier
    Then both requests ran under different identifiers

  Scenario: A drain cuts nothing
    When the admission side drains while 10 requests run and 5 wait
    Then the 10 are answered and the 5 are refused as not run
    And a later request is refused as not run and absent from the log

  Scenario: A drain that takes too long ends with unknown outcomes
    When the admission side drains past its deadline
    Then the request in flight is reported as unknown

  Scenario: Work of a caller that has gone is cancelled
    When a caller's connection is reset while its request runs
    Then the target sees the cancellation and its slot is free

  Scenario: A caller that ends only its own side gets its answer
    When a caller sends a request and ends its side of the connection
    Then the answer has status 200 and 200 bytes

  Scenario: A restarted daemon does not answer for its predecessor
    When the admission side has another boot identifier than the proxy knows
    Then the request is refused as not run and absent from the log

  Scenario: Without configuration, route or target nothing is run
    When requests come before the first configuration, without a route and without targets
    Then they are answered 503, 404 and 503 as not run

  Scenario: Slots and connections are never exceeded
    When 200 requests come at once to a target with 6 slots
    Then at most 6 ran at once over at most 130 connections
    And each was answered or refused as not run

  Scenario: A refused request is run elsewhere
    # Guards against errors while hosts drain, restart or crash.
    When of three targets one drains and the process of one has ended
    Then 20 POST requests are all answered by the third and ran once
    And the evidence holds only the ended process's failures against v1

  Scenario: Evidence and loads follow the outcomes
    When a target answers, fails, closes and is too slow
    Then the evidence is good, bad, bad, bad
    And the load table learns ok, error, error, timeout

  Scenario: Without an answer to the fence the outcome is unknown
    When the admission side ends while a POST is in flight
    Then the request in flight is reported as unknown

  Scenario: A draining proxy finishes what it has taken
    When the proxy drains while 5 requests run
    Then the 5 are answered and a later one is refused as not run

  Scenario: A target process announces itself and leaves without a cut
    When a target process is told to end while it answers a request
    Then it announced itself, finished the request and then said it leaves
