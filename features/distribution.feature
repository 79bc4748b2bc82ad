Feature: Configuration and membership reach every daemon, in order and once

  Scenario: Changes that arrive reordered, repeated or late are applied in order
    Given generated deliveries of a change log with losses and snapshots
    Then the version never falls and every change is applied in order and whole
    And a gap is reported until the missing changes arrive

  Scenario: A tree of relays survives any history of deaths and reconnects
    Given generated histories of a tree in which relays die and streams break
    Then every daemon that is left reaches the last version in order

  Scenario: Redirects end
    Given generated relays that redirect to each other in circles
    Then a round of subscriptions tries each address at most once

  Scenario: A relay admits no more children and full copies than allowed
    Given generated subscriptions to one relay
    Then children, redirects and full copies keep their bounds

  Scenario: Reconnects are spread
    Given generated failures in a row
    Then the delay is up to 1 second first and never above 8 seconds

  Scenario: Two member tables become equal by exchanging differing buckets
    Given generated pairs of member tables
    Then both tables are equal after one exchange

  Scenario: Member deltas keep to their rate and the last state is sent
    Given generated bursts of member changes
    Then the bytes sent stay below the rate and the last state of each is sent

  Scenario: Evidence is added up on its way and never lost while detached
    Given generated evidence
    Then the sums of the reports equal the sums of the evidence

  Scenario: A relay is closed mid-stream
    Given a tree of 30 daemons on loopback with 2 roots and 4 children a relay
    When changes 1 to 3 are appended
    Then every daemon has applied changes 1 to 3 in order
    When a relay with children is killed and changes 4 to 6 are appended
    Then every daemon has applied changes 1 to 6 in order
    And the parent of the killed relay has noticed its loss
    When a relay with children closes in good order and changes 7 to 8 are appended
    Then every daemon has applied changes 1 to 8 in order
    And nobody suspects the relay that closed
    When a root is killed and changes 9 to 10 are appended
    Then every daemon has applied changes 1 to 10 in order

  Scenario: A parent that hangs is left
    Given a daemon on loopback whose first parent sends nothing after its welcome
    When a root appears
    And changes 1 to 2 are appended
    Then the daemon has left the silent parent and applied changes 1 to 2

  Scenario: A daemon that lags far behind gets one snapshot
    Given a tree of 3 daemons on loopback with 1 roots and 4 children a relay
    When changes 1 to 700 are appended
    And a daemon joins
    Then the daemon that joined has taken one snapshot and no other step

  Scenario: Members, suspicions and evidence reach all roots once
    Given two domains on loopback with 2 roots and 3 subscribers each
    When a subscriber of the first domain announces target t1
    Then every daemon of both domains knows target t1
    And no root has received the target more often than there are streams to it
    When a subscriber of the first domain reports a suspicion and evidence
    Then every root has the suspicion and has the evidence once
    When the first root is killed
    And a subscriber of the first domain announces target t2
    Then every daemon of both domains knows target t2

  Scenario: A root that is cut off from the platform catches up from a peer
    Given two domains on loopback with 2 roots and 3 subscribers each
    When the log is unavailable to one root and changes 1 to 3 are appended
    Then every daemon of both domains has applied changes 1 to 3 in order

  Scenario: Relays that name each other as parents do not close a cycle
    Given two daemons on loopback that name each other as parents
    When a root appears
    Then both daemons have a way to the root

  Scenario: Daemons of a domain take its root slots
    Given 6 daemons in an election for 3 slots
    Then 3 daemons are roots and the others reach them
    When changes 1 to 2 are appended
    Then every daemon has applied changes 1 to 2 in order
    When a root of the election is killed
    Then 3 daemons are roots and the others reach them

  Scenario: Without the platform the first daemon in order serves as root
    Given 5 daemons in an election while the platform is unreachable
    Then one daemon serves as provisional root and the others reach it
    When the platform is reachable again
    Then 3 daemons are roots and the others reach them

  Scenario: A root that steps down takes no new peers and fails at nothing
    Given a root whose streams take a moment to end
    When it stops being a root and learns of another root meanwhile
    Then it has stopped without an error

  Scenario: A root that is cut off before it knew any other learns of those that reach it
    Given two roots of two domains of which only the first knows the other
    When the log is unavailable to one root and changes 1 to 3 are appended
    Then every daemon of both domains has applied changes 1 to 3 in order
