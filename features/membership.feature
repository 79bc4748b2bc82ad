Feature: All daemons come to know the same targets

  Scenario: A draining target is not brought back by older announcements
    Given three daemons in domains a, a and b with one target each
    When target t0 starts to drain and its older announcement arrives again
    Then every daemon lists t0 as draining
    When the drain of t0 ends and its older announcement arrives again
    Then every daemon lists t0 as gone

  Scenario: Nothing but a restart ends a drain
    Given three daemons in domains a, a and b with one target each
    When target t0 starts to drain and its older announcement arrives again
    And the observer x suspects t0
    And the observer y suspects t0
    And 20 seconds pass
    Then every daemon lists t0 as gone
    When t0 stops renewing for 4 seconds
    And t0 renews again
    Then every daemon lists t0 as alive

  Scenario: A gone entry is forgotten, but its old announcement stays refused
    Given three daemons in domains a, a and b with one target each
    When target t0 is gone for 700 seconds and its older announcement arrives again
    Then every daemon lists t0 as gone
    And no more than the bounded number of incarnations is kept

  Scenario: One observer makes a target suspect and the target refutes it
    Given three daemons in domains a, a and b with one target each
    When d1 suspects t0 and the message reaches all but d0
    Then d1 lists t0 as suspect
    When all messages arrive
    Then every daemon lists t0 as alive
    And t0 has a higher incarnation than before

  Scenario: A target that did not answer its daemon's probe returns later
    Given three daemons in domains a, a and b with one target each
    When t0 fails its daemon's probe and d1 suspects it
    And 11 seconds pass
    Then every daemon lists t0 as gone
    When t0 answers its daemon's probe and d1 suspects it
    And 1 seconds pass
    Then every daemon lists t0 as alive

  Scenario: A dead target is removed by one observer and the deadline
    Given three daemons in domains a, a and b with one target each
    When d0 and its target die and d1 suspects t0
    And 11 seconds pass
    Then every daemon lists t0 as gone

  Scenario: A dead target is removed by two observers at once
    Given three daemons in domains a, a and b with one target each
    When d0 and its target die and d1 suspects t0
    And the observer d9 suspects t0
    Then every daemon lists t0 as gone

  Scenario: An observer that fails to reach most of a domain is not counted
    Given a table of 6 targets in one domain
    When the observers x and y suspect 5 of them each
    Then no target is gone after 50 seconds

  Scenario: A target that stops renewing leaves, and returns when it renews
    Given three daemons in domains a, a and b with one target each
    When t0 stops renewing for 4 seconds
    Then every daemon lists t0 as suspect
    When t0 renews again
    Then every daemon lists t0 as alive
    When t0 stops renewing for 20 seconds
    Then every daemon lists t0 as gone
    When t0 renews again
    Then every daemon lists t0 as alive

  Scenario: A host without a disk returns although its clock went back
    Given three daemons in domains a, a and b with one target each
    When d0 restarts with a clock that went back by 1000 seconds
    And all messages arrive
    Then every daemon lists t0 as alive
    And t0 has a higher incarnation than before

  Scenario: A target that died behind a cut is routed to last, then removed
    Given three daemons in domains a, a and b with one target each
    When d2 and its target die behind a cut of domain b
    Then d0 lists t2 as alive
    And d0 routes to t2 last
    When a new daemon d3 of domain b joins without t2 and the cut ends
    And the observer d1 suspects t2
    And 11 seconds pass
    Then every daemon lists t2 as gone

  Scenario: A domain that never returns is forgotten, a living one is not
    Given three daemons in domains a, a and b with one target each
    When d2 and its target die behind a cut of domain b
    And 90000 seconds pass
    Then every daemon lists t2 as unknown
    And every daemon lists t0 as alive

  Scenario: A daemon that is cut off from all others removes no target
    Given three daemons in domains a, a and b with one target each
    When d1 is cut off, suspects t0 and returns after 30 seconds
    Then every daemon lists t0 as alive

  Scenario: Two hosts claim the same target in the same millisecond
    Then tables that hear of two hosts in either order keep the same entry

  Scenario Outline: Proxies report failed connections unless the domain fails
    Given a proxy in domain a that tried <tried> targets in domain <domain>
    When its connections to <failing> of them fail
    Then it reports <reported> of them

    Examples:
      | tried | domain | failing | reported |
      | 3     | b      | 1       | 1        |
      | 3     | b      | 3       | 0        |
      | 1     | b      | 1       | 0        |
      | 1     | a      | 1       | 1        |

  Scenario: Entries of living targets are refreshed
    Then an entry is announced anew after 6 hours

  Scenario: The task handles posted messages and its own deadlines
    When a target is announced and drained by messages
    Then the subscriber sees it alive, draining and, in time, gone

  Scenario: Generated histories of crossed, repeated and lost announcements
    Then the tables of generated histories converge and incarnations never fall

  Scenario: Generated suspicions of single observers
    Then a single observer never removes a living target

  Scenario: Generated cuts between failure domains
    Then a cut empties no service that still runs

  Scenario: Generated delays of drain announcements
    Then a leaving target gets no new work 3 seconds after its drain
