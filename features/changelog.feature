Feature: The change log gives each number to one writer and loses no change

  Scenario Outline: A change whose answer is lost is in the log exactly once
    Given a log of 3 changes
    When an operator appends a change and the calls end <faults>
    Then the change is accepted
    And the change is in the log exactly once

    Examples:
      | faults                            |
      | lost                              |
      | lost, dropped                     |
      | lost, dropped, dropped            |
      | dropped, ok, lost                 |
      | dropped, ok, dropped, ok, lost    |
      | lost, down                        |
      | dropped, ok, lost, down           |
      | lost, ok, down                    |
      | late, ok, refused, ok             |
      | slow, dropped                     |

  Scenario: A platform that stays down leaves the outcome open
    Given a log of 3 changes
    When an operator appends a change, its answer is lost and the platform stays down
    Then the outcome is reported as unknown

  Scenario: A call that the platform refuses is reported as not written
    Given a log of 3 changes
    When an operator appends a change and the calls end refused
    Then the outcome is reported as known
    And the change is not in the log

  Scenario: Of two changes of one object the later one is told what won
    Given a log of 3 changes
    When two operators change the same label at once
    Then one is refused with the number that won and what to do

  Scenario: Two changes of different objects are both accepted
    Given a log of 3 changes
    When two operators change different labels at once
    Then both are in the log

  Scenario: A change that no longer fits the whole is refused after a lost race
    Given a log of 3 changes
    When one operator deletes a label while another one makes a selector of it
    Then the selector is refused for its field targets

  Scenario Outline: A holder's entry is not moved behind a newer epoch
    Given a log of 3 changes
    When a holder of epoch 1 appends <kind> after epoch 2 has begun
    Then the holder is told that its epoch is stale
    And the change is not in the log

    Examples:
      | kind         |
      | set_progress |
      | end_rollout  |
      | epoch        |

  Scenario: A holder that has seen a newer epoch appends nothing
    Given a log of 3 changes
    When a holder of epoch 1 appends after its daemon has applied epoch 2
    Then the holder is told that its epoch is stale
    And the change is not in the log

  Scenario: An operator's stop is moved behind a rollout's step but not its end
    Given a rollout that is running
    When the holder takes a step while an operator stops the rollout
    Then the change is accepted
    Given a rollout that is running
    When the holder ends it while an operator stops the rollout
    Then one is refused with the number that won and what to do

  Scenario: A snapshot keeps the state and trimming keeps 256 entries
    Given a log of 300 changes
    When a snapshot is written and the log is trimmed
    Then the log keeps the numbers 45 to 300 and loads as before

  Scenario: A snapshot of more than the platform's 1 MB is written in parts
    Given a configuration of 3 MB
    When a snapshot is written and the log is trimmed
    Then the log loads as before

  Scenario Outline: A writer that was paused until its number was deleted
    Given a log of 600 changes, trimmed
    When a writer that knows version 100 appends a change and its create is <speed>
    Then the writer is told <report>
    And no reader takes the change into its configuration

    Examples:
      | speed  | report                          |
      | ok     | that its version is too old     |
      | slow   | that the outcome is unknown     |

  Scenario Outline: Nobody takes an entry that replaced a deleted one
    Given a log of 600 changes, trimmed
    And an entry <number> written by a paused writer that ended before its check
    When a <reader> that knows version <version> reads on
    Then it is told to load the log again
    And no reader takes the change into its configuration

    Examples:
      | reader   | number | version |
      | follower | 101    | 100     |
      | follower | 344    | 343     |
      | writer   | 344    | 343     |

  Scenario: A daemon's calls are delayed, then refused, at its budget
    Given a budget of 10 writes a second
    When 60 writes are asked for at once
    Then 10 start at once, 20 within 2 seconds and 30 are refused

  Scenario: Histories of concurrent writers on a failing platform
    When generated histories of concurrent writers run
    Then each held to one writer a number and to exactly one entry a change
