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
