Feature: Each request reaches a target and gets its own complete answer

  Scenario: Answers belong to their requests whatever breaks
    # Guards against crossed answers, false refusals and double runs.
    When generated histories of faults and cut connections are played
    Then each caller got its own whole answer, or none
    And what was refused as not run is in no target's log
    And no non-idempotent request ran twice

  Scenario Outline: A message cut at any byte is never taken for a whole one
    When <message> of a <method> is cut at each byte
    Then every caller got status <status> and outcome <outcome>
    And each of the requests ran <runs>

    Examples: A fence proves that a cut request between daemons was not run.
      | message              | method | status | outcome | runs          |
      | the target's answer  | POST   | 502    | unknown | once          |
      | the daemon's answer  | POST   | 502    | unknown | once          |
      | the daemon's request | POST   | 200    | None    | once          |
      | the target's answer  | GET    | 200    | None    | at least once |

  Scenario: A late answer does not meet a later request
    When requests whose answers come too late alternate with quick ones
    Then the quick ones got their own answers and the others are unknown

  Scenario Outline: A second answer to a request does not meet the next one
    When a target answers a request again after <ms> ms and then gets another
    Then every caller got status 200 and outcome None
    And the echoes are first second

    Examples:
      | ms |
      | 0  |
      | 10 |

  Scenario Outline: Bodies pass in every form
    When a caller requests <method> <target>
    Then the caller got status <status> and <size> bytes

    Examples:
      | method | target                       | status | size    |
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

  Scenario: A cut large answer ends with the caller's connection
    When large answers are cut after their beginning was passed on
    Then the callers see cut answers
    And the gates recorded bad bad

  Scenario: A caller that does not read holds back the target
    # Guards against a large answer piling up in a daemon's memory.
    When a caller reads an answer of 60 million bytes after a pause
    Then most of it was still at the target, and the caller got all of it

  Scenario: Pipelined requests are answered in their order
    When 30 requests are sent ahead with falling service times
    Then their answers come in the order of the requests

  Scenario Outline: A bad request is refused and harms no other
    When a request with <fault> is sent while another runs
    Then it is answered with <status> and the other is complete

    Examples:
      | fault                   | status |
      | garbage                 | 400    |
      | two lengths             | 400    |
      | length and chunks       | 400    |
      | unknown transfer coding | 501    |
      | a negative length       | 400    |
      | a bare line feed in it  | 400    |
      | no host                 | 400    |
      | two hosts               | 400    |
      | a large header          | 431    |
      | a header without end    | 431    |
      | a large body            | 413    |
      | a large chunked body    | 413    |
      | half a header           | 408    |
      | half a body             | 408    |

  Scenario: A caller that waits for 100 Continue is told to go on
    When a body is announced with an expectation
    Then the caller is told to continue and then gets its answer

  Scenario: Neither a caller nor a target can forge an outcome
    When a target answers a POST with the headers of a refusal
    Then every caller got status 200 and outcome None
    And each of the requests ran once
    When two callers send the same identifier
    Then both requests ran under different identifiers

  Scenario: A drain cuts nothing
    When the admission side drains while 10 requests run and 5 wait
    Then 15 answers are whole and 1 requests were refused as not run

  Scenario: A drain that takes too long ends with unknown outcomes
    When the admission side drains past its deadline
    Then every caller got status 502 and outcome unknown

  Scenario: Without an answer to the fence the outcome is unknown
    When the admission side ends while a POST is in flight
    Then every caller got status 502 and outcome unknown

  Scenario: A draining proxy finishes what it has taken
    When the proxy drains while 5 requests run
    Then 5 answers are whole and 0 requests were refused as not run

  Scenario: Work of a caller that has gone is cancelled
    When a caller's connection is reset while its request runs
    Then the target sees the cancellation and its slot is free

  Scenario: A caller that ends only its own side gets its answer
    When a caller sends a request and ends its side of the connection
    Then the caller got status 200 and 200 bytes

  Scenario: What cannot be placed is not run
    # The daemon restarted, no configuration, no route, no time, no target.
    When requests come that no target may run
    Then they are answered 503, 503, 404, 503 and 503 as not run

  Scenario: Slots and connections are never exceeded
    When 200 requests come at once to a target with 6 slots
    Then at most 6 ran at once over at most 130 connections
    And each was answered or refused as not run

  Scenario: A refused request is run elsewhere
    # Neither a drain nor a target that does not listen speaks against a version.
    When of three targets one drains and the process of one has ended
    Then every caller got status 200 and outcome None
    And each of the requests ran once
    And the gates recorded good good good good

  Scenario: Evidence and loads follow the outcomes
    When a target answers, fails, closes and is too slow
    Then the gates recorded good bad bad bad
    And the balancer counts three failures, less what faded meanwhile

  Scenario: A target process announces itself and leaves without a cut
    When a target process is told to end while it answers a request
    Then it announced itself, finished the request and then said it leaves
