Feature: Daemons beside servers, as separate processes on a store

  Scenario: A request reaches a server and comes back whole
    Given a mesh of 2 hosts
    Then a request at each host is run once and answered with its own body
    And the answer carries the service of the caller's host
    And the metrics of a daemon can be read

  Scenario: A route that does not exist is answered with 404
    Given a mesh of 1 hosts
    Then a request without a route gets 404 and reaches no server

  Scenario: A new configuration is in force everywhere within its bound
    Given a mesh of 3 hosts
    When the operator adds a route
    Then every daemon serves it within 2 seconds

  Scenario: A configuration above 64 KiB is read whole
    Given a mesh of 2 hosts
    When the operator adds 600 routes
    Then every daemon serves it within 2 seconds

  Scenario: A configuration that cannot be used leaves the last one in force
    Given a mesh of 1 hosts
    When the operator writes a configuration that cannot be used
    Then the last configuration stays in force and the log says why

  Scenario: A server that drains gets no request of any daemon
    Given a mesh of 2 hosts
    When the server of the first host drains
    Then 40 requests at both hosts succeed and none reaches it

  Scenario: A server that drains while the store is silent gets no request
    Given a mesh of 2 hosts
    When the store is silent
    And the server of the first host drains
    Then 40 requests at both hosts succeed and none reaches it

  Scenario: A crashed server costs no request while another one lives
    Given a mesh of 2 hosts
    When the server of the first host crashes
    Then 20 requests at both hosts succeed

  Scenario: Requests go on while the store is down
    Given a mesh of 2 hosts
    When the store is down
    Then 20 requests at both hosts succeed

  Scenario: A daemon that starts while the store is down learns from peers
    Given a mesh of 3 hosts
    When the store is down
    And the second daemon is killed and starts again
    Then it serves within 5 seconds

  Scenario: A daemon that restarts uses its living server at once
    Given a mesh of 1 hosts
    When heartbeats come every 20 seconds
    And the first daemon is killed and starts again
    Then it serves within 4 seconds

  Scenario: A restarted daemon does not use a server that drains
    Given a mesh of 2 hosts
    When the server of the first host drains
    And heartbeats come every 20 seconds
    And the first daemon is killed and starts again
    Then 40 requests at both hosts succeed and none reaches it

  Scenario: A daemon that stops serves others until callers had notice
    Given a mesh of 2 hosts
    When the server of the first host drains
    And the second daemon is told to stop
    Then requests at the first host succeed for 2 seconds

  Scenario: The store forgets its history
    Given a mesh of 2 hosts
    When the store forgets its history
    And the operator adds a route
    Then every daemon serves it within 3 seconds

  Scenario: Lost answers of the store do not keep an entry away
    Given a mesh of 1 hosts
    When the next 2 answers to writes are lost
    And a further host starts
    Then the further host is known to the first daemon

  Scenario: A stop cuts no request
    Given a mesh of 2 hosts
    When the second daemon is told to stop under load
    Then no request of its callers was cut

  Scenario: A request that may run once runs once when its answer is lost
    Given a mesh of 2 hosts
    When the servers run requests and do not answer
    Then a request that may run once ran at most once and gets 504 in time

  Scenario: A second answer to an earlier request reaches nobody
    Given a mesh of 1 hosts
    When the servers send second answers
    Then 40 requests on kept connections get their own answers or 502

  Scenario: A bad version is rolled back
    Given a mesh of 2 hosts
    When a host with a version starts that fails
    And the operator orders that version within 12 seconds
    Then the rollout is rolled_back and the version had at most 15% of the requests

  Scenario: A good version is completed in time
    Given a mesh of 2 hosts
    When two hosts with a good version start
    And the operator orders that version within 12 seconds
    Then the rollout is completed and only the version serves

  Scenario: Settings that change without a signal are noticed
    Given a mesh of 1 hosts
    When the retry ratio in its settings changes
    Then it has read its settings again without a signal

  Scenario: Settings that cannot be used leave the last ones in force
    Given a mesh of 1 hosts
    When its settings are replaced by bytes that cannot be read
    And it is told to read its settings
    Then the log says why and requests go on

  Scenario Outline: An announcement that cannot be used is refused by its field
    Given a mesh of 1 hosts
    When a target announces itself with <fault>
    Then the announcement is refused with a message that names <field>

    Examples:
      | fault           | field   |
      | no version      | version |
      | no slots        | slots   |
      | an unknown key  | color   |
