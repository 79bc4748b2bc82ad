Feature: The store comes back from an older copy and gives out its revisions again

  Scenario: A version that turns bad is rolled back after the store came back
    # Guards against a rollout on which no daemon can decide any more, because
    # the revisions of the store are lower than those that the daemons know.
    Given a mesh of 2 hosts
    When a host starts whose server runs a version that is good so far
    And the operator orders a rollout to that version with 14 seconds
    And the store comes back from a copy of 2.5 seconds ago
    And that version turns bad
    Then the rollout is rolled back within 8 seconds

  Scenario Outline: A server that joined after the copy was made is used again in time
    # Guards against a member that its daemon believes to be stored, so that a
    # running server gets no requests.
    Given a mesh of 2 hosts
    When another host joins
    And the store comes back from a copy without it, and open connections <connections>
    Then its member is stored again within 2 seconds and its server gets requests

    Examples:
      | connections |
      | are cut     |
      | stay open   |

  Scenario Outline: Responses are ordered by the era that they name
    # Guards against old objects that pass for newer ones, and against a header
    # that makes the store unusable.
    When a list names the era <listed> and the watch after it the era <watched>
    Then the watch ends with <result>

    Examples:
      | listed | watched | result       |
      | 3      | 3       | changes      |
      | 3      | 4       | history lost |
      | 3      | 2       | unavailable  |
      | 3      | 2, 4    | history lost |
      | 3      | -       | changes      |
      | 3      | +4      | changes      |
      | 3      | 9999999 | changes      |
      | -      | -       | changes      |
      | -      | 1       | history lost |

  Scenario: A list whose pages are of two eras is not used
    # Guards against objects that the store has lost beside those that it has.
    When the store comes back from a copy between two pages of a list
    Then the list is not used

  Scenario Outline: A write over a state of an earlier era tells what the store has
    # Guards against a write over a state that its writer has not seen, which got
    # the number of the one that the writer has seen.
    When a daemon writes over the revision that it read before the store came back, <knowing> that
    Then the write is a conflict with the state that the store has
    And <changes> writes took effect since the store came back

    Examples:
      | knowing     | changes |
      | knowing     | 1       |
      | not knowing | 2       |

  Scenario Outline: A decision on a rollout outlives a copy that lacks it
    # Guards against traffic for a version that was found bad, and against the
    # rollback of one that has taken over.
    Given a rollout that the first of two daemons has decided as <state>
    When the store comes back from a copy with <copy>
    And the <deciding> daemon goes on with it
    Then the store has it as <state> in a later epoch or the same, and its order, too
    And no daemon knows it as anything else

    Examples:
      | state       | copy                                              | deciding |
      | rolled_back | the running rollout                               | first    |
      | rolled_back | its order only                                    | first    |
      | rolled_back | no order, which is written again                  | first    |
      | rolled_back | the running rollout                               | second   |
      | rolled_back | its order only                                    | second   |
      | rolled_back | no order, which is written again                  | second   |
      | rolled_back | the running rollout, which another daemon goes on | first    |
      | rolled_back | the running rollout, which another daemon goes on | second   |
      | done        | the running rollout                               | first    |
      | done        | its order only                                    | second   |

  Scenario Outline: A running rollout goes on where it was
    # Guards against a rollout that begins anew, with its whole time again.
    Given a rollout that the first of two daemons has raised to 200 permille
    When the store comes back from a copy with <copy>
    And the first daemon goes on with it
    Then the store has it with 200 permille, the same deadline and the same holder

    Examples:
      | copy                             |
      | an earlier stage                 |
      | its order only                   |
      | no order, which is written again |

  Scenario: A bad version is stopped before its lost order is written again
    # Guards against a holder that waits for the order.
    Given a rollout that the first of two daemons has raised to 200 permille
    When the store comes back from a copy with no order
    And the first daemon finds the version bad
    Then the store has the decision, and its order has it once it is written again

  Scenario: An order of another version begins anew after the store came back
    # Guards against an order that is taken for one that was decided.
    Given a rollout that the first of two daemons has decided as rolled_back
    When the store comes back from a copy without its order, and another version is ordered
    Then the rollout of that version begins with 0 permille

  Scenario: Members that are not written again are taken as gone
    # Guards against requests to hosts that failed while the store was away.
    When a daemon reads a list of the next era without its own member and two others, of which one is written again
    Then only the third one is removed, 2 seconds later and not before

  Scenario: A withdrawn key stays withdrawn at a daemon that starts after the return
    # Guards against a daemon that has nothing but a copy with the key, while its
    # peers know that the key was withdrawn.
    Given a mesh of 3 hosts with the organisation acme and its keys k-first and k-second
    When the operator withdraws the key k-first
    And the first daemon restarts while the store comes back from a copy with the key
    Then for 3 seconds no request with k-first is served at it, and those with k-second are within 2 seconds

  Scenario Outline: A read that lacks what a peer had before confirms nothing
    # Guards against an old copy that counts as the newest configuration.
    Given a daemon with version <own> of the configuration
    When a peer tells of version 17 and <seconds> seconds later the store is read
    Then the read <confirms> the configuration

    Examples:
      | own | seconds | confirms         |
      | 16  | 0.1     | does not confirm |
      | 16  | -0.1    | confirms         |
      | 17  | 0.1     | confirms         |
      | 16  | 11      | confirms         |

  Scenario: The own reads of a daemon that waits for its peers confirm nothing
    When a daemon that waits for its peers lists the configuration
    Then it is not confirmed until its peers were asked
