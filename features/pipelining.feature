Feature: Pipelined requests of a connection do not wait for each other's run

  Scenario: A slow request delays no other run on its connection
    # Guards against requests of one connection that run one after the other.
    When a request of 400 ms and 5 quick ones are pipelined
    Then the quick ones ended before the slow one
    And the callers' responses are in the order of the requests

  Scenario: A request that may run once runs neither beside nor before an earlier one
    # An earlier response may close the connection, and then the client sends
    # the requests behind it again.
    When GET, POST and GET are pipelined, each of 60 ms
    Then they ran one after the other
    And the callers' responses are in the order of the requests

  Scenario: A request behind a response that closes the connection is not run
    When GET with connection: close and POST are pipelined
    Then only the GET was run, and the connection was closed behind its response

  Scenario: A malformed request between others gets its response in order
    When a slow GET, a malformed request and a GET are pipelined
    Then the responses are 200 and 400, and the last request was not run

  Scenario: A client that leaves cancels all of its requests
    When a client leaves while 5 pipelined requests run
    Then the target cancelled 5 requests

  Scenario: The number of requests of a connection that run at once is bounded
    When 40 requests of 30 ms are pipelined to a target with 40 slots
    Then at most 16 of them ran at once
    And the callers' responses are in the order of the requests

  Scenario: Large responses that wait for an earlier one stay at the target
    # Guards against a connection whose waiting responses fill the memory.
    When a slow GET and 3 requests with responses of 40 MB are pipelined
    Then most of the 120 MB were still at the target before the slow one ended
    And the callers' responses are in the order of the requests
