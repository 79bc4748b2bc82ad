Feature: Clients that nobody controls end no daemon

  Scenario Outline: A crowd sends legal requests and stops just short of their end
    # Guards against a process that runs out of memory. No time is checked.
    Given a host whose machine has 200 MB, and a crowd of clients
    When the crowd sends <shape> to its <side>
    Then the daemon lives with at most 200 MB and 1000 descriptors
    And an ordinary request is answered

    Examples:
      | side            | shape                                     |
      | caller side     | 400 heads of very many short lines        |
      | caller side     | 400 heads of very many odd lines          |
      | caller side     | 100 bodies of 4 MB at once                |
      | caller side     | 100 bodies of 4 MB but for one byte       |
      | caller side     | 100 bodies of 4 MB in pieces but for one  |
      | caller side     | 100 chunked bodies of 4 MB but for one    |
      | caller side     | 60 bodies of 256 kB in chunks of 4 bytes  |
      | peers' side     | 400 heads of very many short lines        |
      | peers' side     | 100 bodies of 4 MB but for one byte       |
      | peers' side     | 60 bodies of 256 kB in chunks of 4 bytes  |

  Scenario: The largest legal request in calm is served
    Given a host whose machine has 200 MB, and a crowd of clients
    When one client sends a body of 4 MB in pieces
    Then it is answered with 200

  Scenario: Requests give way in an order that spares those that move
    Given an intake of 1000 bytes and 3 connections
    When one with 500 bytes stopped, one with 300 bytes moves and one with 150 bytes is being answered
    And the moving one receives 100 bytes more
    Then the one that stopped is refused, and nothing else
    When the one that is being answered needs 900 bytes
    Then the moving one is refused too, and the one that is being answered is not

  Scenario: The connection that has been idle for longest gives way
    Given an intake of 1000 bytes and 3 connections
    When a fourth one connects
    Then the one that has been idle for longest is closed
    When all of them are being answered and a fifth one connects
    Then there is no room for it
