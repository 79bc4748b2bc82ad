Feature: The servers of an evacuated failure domain get no requests

  Scenario: An operator evacuates a failure domain and takes it back
    # Guards against orders that daemons do not read, or read too late.
    Given a mesh of 2 hosts in each of 2 failure domains that may be evacuated
    When callers of all hosts send requests and the operator evacuates the first domain
    Then no request reaches the servers of the domain later than 5 seconds after that
    And no request failed
    When the operator takes the evacuation back
    Then the servers of the domain get requests again

  Scenario: A daemon that starts during an evacuation sends no requests there
    Given a mesh of 2 hosts in each of 2 failure domains that may be evacuated
    When the operator evacuates the first domain and a daemon of the other one restarts
    Then none of 20 requests of the restarted daemon reaches the servers of the domain

  Scenario: A balancer chooses a server of an evacuated failure domain
    # Even where the only other one is farther away, or there is none.
    Given a balancer with one server in its own failure domain and one in another
    When its own failure domain is evacuated
    Then it chooses the server of the other one 20 of 20 times
    When the other failure domain is evacuated
    Then it chooses no server

  Scenario: Requests wait at a server whose failure domain is evacuated
    # They must not wait for a slot that they do not get.
    When a host with 2 slots is evacuated while 3 of 5 requests wait for it
    Then 2 of them ran and the others were refused before a slot became free

  Scenario: A daemon that does not know of an evacuation sends requests there
    # The daemon beside the server knows, and the request goes elsewhere.
    When the first of 2 hosts is evacuated and the sender does not know it
    Then all of 10 requests ran at the other host

  Scenario: The servers of a returned failure domain may have become cold
    When the evacuation of a host ends
    Then its server counts as cold until its next heartbeat

  Scenario Outline: Orders arrive late, twice or out of order
    When the orders <orders> arrive for a failure domain
    Then the failure domain is <state>

    Examples:
      | orders                 | state     |
      | order 5                | evacuated |
      | order 5, end 6         | in use    |
      | order 5, end 5         | in use    |
      | end 4, order 5         | evacuated |
      | order 5, end 4         | evacuated |
      | order 5, list 6        | in use    |
      | order 5, list 4        | evacuated |
      | order 5, end 6, order 7| evacuated |
