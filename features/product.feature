Feature: Settings, selector files, plug-ins, the time line and the log

  Scenario: All errors of a settings file are reported together
    Given settings with an unknown key, a bad address, a short token and no failure domain
    When the settings are loaded
    Then the settings are refused with errors in the keys color, failure_domain, proxy_address, administration_token
    And no settings error shows the token

  Scenario: A host name that other daemons would refuse is refused in the settings
    # Guards against a daemon whose member no other daemon accepts.
    Given settings whose daemon_id has a line break
    When the settings are loaded
    Then the settings are refused with errors in the keys daemon_id

  Scenario Outline: A setting that needs a restart keeps its value after a reload
    # Guards against a member that is stored with a name or an address to which
    # the running process does not listen.
    Given a daemon with a drain timeout of 6 seconds
    When its settings are reloaded with <key> "<value>" and a drain timeout of 9 seconds
    Then its member is unchanged and the log names <key>
    And its drain timeout is 9 seconds

    Examples:
      | key                    | value       |
      | daemon_id              | host-2      |
      | failure_domain         | b           |
      | admission_address      | 127.0.0.1:9 |
      | administration_address | 127.0.0.1:9 |

  Scenario: The settings page documents each key in the order of the code
    When the settings page is read
    Then it lists the keys of the daemon and of the client with their defaults

  Scenario: All errors of a selector file are listed and nothing is sent
    Given a file with an unknown label, shares of 90 percent and an agreed_by time in the past
    When hemlockctl checks the file
    Then hemlockctl exits with 3
    And its output names booking.targets, booking.shares_by_version

  Scenario: An unreachable daemon is reported in one error line
    Given client settings with the address of a daemon that does not run
    When hemlockctl runs "status"
    Then hemlockctl exits with 7
    And its output is one error line

  Scenario: An error in a plug-in does not stop the other plug-ins
    Given the example plug-in of the documentation and a plug-in that raises
    When a configuration change by "anna" is applied
    Then the example plug-in has counted 1 change by "anna"

  Scenario: An unknown plug-in is refused with a list of the known ones
    When the balancer "no_such" is loaded
    Then the plug-in error names "zone"

  Scenario: The time line keeps the causal order despite clock differences
    Given a process whose clock is 5 seconds behind another
    When the process ahead sends a message to the one behind, which replies
    Then the merged time line shows send, receive, reply

  Scenario: A secret never appears in the log
    Given a log that hides the token
    When a line with the token is logged
    Then the log shows a placeholder instead of the token
