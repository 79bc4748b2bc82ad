Feature: A response with an impossible status reaches no caller

  Scenario Outline: A server in trouble sends an impossible status
    # Guards against bytes that are no answer and look like one to the caller.
    When a server responds with status <status> and a body that is <body>
    Then the caller gets 502 with an unknown outcome
    And the next request on a new connection gets its own response

    Examples:
      | status | body           |
      | 000    | empty          |
      | 000    | small          |
      | 000    | large          |
      | 000    | chunked        |
      | 000    | close          |
      | 001    | large          |
      | 099    | small          |
      | 099    | large          |
      | 099    | large chunked  |
      | 150    | small          |
      | 150    | large          |
      | 150    | large chunked  |
      | 199    | large          |
      | 600    | small          |
      | 600    | large          |
      | 999    | chunked        |
      | 999    | close          |

  Scenario Outline: Another daemon seems to send an impossible status
    When a daemon responds with status <status> and a body that is <body>
    Then the caller gets 502 with an unknown outcome

    Examples:
      | status | body  |
      | 000    | large |
      | 099    | small |
      | 150    | large |
      | 600    | small |

  Scenario: An impossible status comes before the response to the request
    When a server responds with status 099 without a body and then with 200
    Then the caller gets 502 with an unknown outcome

  Scenario Outline: Interim responses are skipped
    When a server sends the interim response <status> before its response
    Then the caller gets 200

    Examples:
      | status |
      | 100    |
      | 102    |
      | 103    |

  Scenario Outline: Every possible status is passed on
    When a server responds with status <status> and a body that is <body>
    Then the caller gets <status>

    Examples:
      | status | body  |
      | 200    | large |
      | 299    | small |
      | 404    | small |
      | 418    | large |
      | 599    | small |

  Scenario Outline: The command-line tool gets a response with an impossible status
    # Guards against a change that is reported as accepted although it is not.
    When the administration API responds to a change with status <status>
    Then the tool fails and names the daemon

    Examples:
      | status |
      | 000    |
      | 150    |
      | 304    |
      | 600    |
