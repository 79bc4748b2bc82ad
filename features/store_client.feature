Feature: The client of the store returns what the store has

  Scenario: A change of an object on an earlier page of a list is not missed
    # Guards against a watch that begins after changes which the list lacks.
    When a list has two pages and an object of the first one changes in between
    Then the watch after the list begins before that change

  Scenario: After a cut a daemon has the newest configuration in time
    # Guards against a daemon that waits for a connection attempt of the cut and
    # for a backoff after it, and then reads each version that it has missed.
    When 20 daemons are cut off for 6 seconds while 20 versions are written
    Then each of them has the newest version within 1.75 seconds of the end
    And none of them has read more than 2 versions since then

  Scenario: A read on a new connection uses none of the open ones
    # Guards against a read that waits on one silent connection after the other.
    Given 3 connections to the store that were open before are silent
    When the changes are read on a new connection
    Then they come within 0.5 seconds and no open connection is kept

  Scenario: Calls to the store are counted by their purpose and result
    # Guards against a price of the store that neither metrics nor logs explain.
    When a client lists a kind and watches a change, nothing and a closed connection
    And it gets a missing object and ends a watch that waits
    Then the calls are counted as
      """
      config.list.changed
      config.watch.lagging.changed
      config.watch.lagging.unchanged
      config.watch.failed
      mesh.get.refused
      mesh.watch.lagging.cancelled
      """

  Scenario Outline: A call after a failed one uses no connection that was open then
    # Guards against calls that wait on one silent connection after the other.
    Given 3 connections to the store that were open before are silent
    When a call <fails>
    Then the next one gets its response within 0.5 seconds

    Examples:
      | fails                |
      | gets no response     |
      | loses its connection |

  Scenario Outline: A response is given up by its pauses, not by its length
    # Guards against a large configuration that is cut off and begun again.
    When the store sends a list in <pieces> pieces, <pause> seconds apart
    Then the list is <result> after <least> to <most> seconds

    Examples:
      | pieces | pause | result      | least | most |
      | 12     | 0.2   | read        | 2.2   | 3.2  |
      | 3      | 1.5   | unavailable | 0.9   | 1.4  |

  Scenario: Several versions of a large configuration are not read one by one
    # Guards against a watch that returns each version on the link of a small host.
    When a watch follows a list of a large configuration, of which it has 4 versions
    Then it is given up and the list that follows has the newest version

  Scenario: A watch is not sent beside a read of the same kind
    # Guards against two transfers of one configuration on the same link.
    When a watch would be sent while a read of 1 seconds runs
    Then it is sent after the read, from the revision of that read

  Scenario: A list that is larger than a daemon takes is a failed read
    # Guards against a watch that lists again and again without a pause.
    When the store responds to a list with more than the largest body
    Then the list is unavailable
