Feature: An entry that cannot be understood costs no more than itself

  Entries of the store and heartbeats may come from another program.

  Scenario: A target with letters that cannot be sent fails its request only
    Then encoding a request for the target /łódź raises an expected error

  Scenario: A server identifier and a route name may have any letters
    When a request is sent to a server whose identifier has letters outside Latin-1
    Then it is served, and counted under the name of its route

  Scenario: A rollout of a service with any letters in its name ends no daemon
    # Guards against a daemon that ends when it reports the state of such a
    # rollout, and after it each daemon that takes the rollout over.
    Given a mesh of 2 hosts
    When another writer orders a rollout of the unknown service dyspozytor-łódź/2
    Then requests at both hosts succeed for 6 seconds and no daemon has ended
    And the status of the order says that it was rolled back
