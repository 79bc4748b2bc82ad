Feature: A server that warms up gets no more requests than it takes

  Scenario Outline: A cold server gets more requests than the users allow
    # Guards against bursts after a start, in the limit alone and in virtual time.
    When a server that takes <rate> a second is cold for <cold> of 12 seconds under constant pressure
    Then no second of its cold time has more than 1.5 times <rate> and 8 requests
    And the cold server got at least 0.8 times <rate> a second

    Examples:
      | rate | cold |
      | 4.35 | 6    |
      | 0.5  | 6    |
      | 20   | 6    |
      | 4.35 | 12   |

  Scenario: A restarted daemon does not know what its predecessor sent
    When the limit of a cold server that takes 20 a second is new
    Then it lets no request through at once

  Scenario: A limit that the server names and its warm-up bind together
    When a cold server that takes 10 a second names a limit of 3
    Then 3 a second are let through while it is cold and afterwards
    And 10 a second are let through while it is cold and names none

  Scenario: A release brings cold servers under load
    Given a system of 2 servers whose cold ones take 4 a second
    When the first one starts cold and callers send 40 requests a second for 3 seconds
    Then no second of the first one has more than 14 requests
    And all callers were served

  Scenario: A server restarts under its identifier before its next heartbeat
    # The first sign of such a restart is a failed connection.
    Given a system of 1 servers whose cold ones take 4 a second
    When the server restarts, gets 60 requests in 1.5 seconds, says that it is warm and gets 40 more
    Then no second of the first one has more than 14 requests
    And all of the latter were served

  Scenario: A restarted daemon learns from a check that its server is cold
    Given a registrar with a server from the store
    When a check responds that the server stays cold for 2500 ms
    Then the server counts as cold for 2.5 seconds
    When a check responds that the server stays cold for nonsense ms
    Then the server counts as cold until its next heartbeat

  Scenario Outline: The rate of a cold server is decoded
    When a service whose warm-up rate is <value> is decoded
    Then the warm-up rate is <result>

    Examples:
      | value  | result  |
      | 4.35   | 4.35    |
      | 0      | 0.0     |
      | -1     | refused |
      | "4"    | refused |
      | 1e999  | refused |
      | true   | refused |
      | absent | none    |
