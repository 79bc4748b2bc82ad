Feature: Large bodies leave room on the network link for short messages

  Scenario: Short messages do not wait behind the bodies of downloads
    # Replays the load of a download service on links of 5.5 Mbit/s: downloads of
    # 90 kB use 60% of the link and share it with short responses.
    When 30 seconds of downloads and short messages are replayed on a link
    Then with pacing a short message waits 15 ms at most
    And without pacing some short messages wait more than 400 ms
    And pacing delays the mean download no more than the queue of the link did

  Scenario: Pacing uses the whole link
    When 20 bodies of 10 to 200 kB wait for a link of 5.5 Mbit/s
    Then the link is idle for less than 2% of the time that they take
    And the smaller body ends first

  Scenario Outline: Bodies of responses share a link of 2 Mbit/s with short responses
    Given responses of 100 kB with a body by <framing>
    When 2 large responses and short ones are sent over a link of 2 Mbit/s
    Then the large responses arrive whole and take 0.7 s at least
    And each short response arrived within 150 ms

    Examples:
      | framing |
      | length  |
      | chunked |
      | close   |

  Scenario Outline: A body that breaks off is never taken for a complete one
    Given responses of 100 kB with a body by <framing>
    When the server breaks off a body that waits for the link
    Then the caller got a broken response
    And a later body is sent over the link

    Examples:
      | framing |
      | length  |
      | chunked |

  Scenario: A caller that leaves gives its share of the link to others
    Given responses of 100 kB with a body by length
    When a caller leaves while its body of 1 MB waits for the link of 2 Mbit/s
    Then the next large response takes less than 1 s
    And the run of the server that left off was ended

  Scenario: 50 downloads at once take a bounded amount of memory
    When 50 downloads of 10 MB wait for a link of 2 Mbit/s
    Then the daemon holds at most 256 kB of each

  Scenario: A stream with many bytes at its start is paused as well
    # Guards against a stream that is resumed when it is attached and then no
    # more paused, so that its whole body is held.
    When a stream with 100 kB at its start waits for a link of 2 Mbit/s
    Then the source of the stream is paused

  Scenario: A link of an unknown rate is not paced
    Given responses of 100 kB with a body by length
    When 2 large responses and short ones are sent over a link of an unknown rate
    Then the large responses arrive whole

  Scenario: A download that the link cannot carry in time is refused at once
    # Guards against downloads that are run and then delivered late.
    When a download with 1 s left comes to a host whose link has bodies for 4 s
    Then it was refused within 200 ms and not run
    And it was run once the link was free

  Scenario: Downloads go to a host whose link is free, other requests do not care
    Given a balancer and servers in one failure domain
      | name | version | born | service_ms |
      | a    | v1      | 100  | 10         |
      | b    | v1      | 200  | 50         |
    When the link of a has bodies for 500 ms
    Then the next choice of a large download is b
    And the next choice is a
