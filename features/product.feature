Feature: Settings, files, plug-ins and the time line

  Scenario: Every error of a settings file is reported at once
    Given settings with an unknown key, a bad address, a short token and no failure domain
    When the settings are loaded
    Then the settings are refused by the keys color, failure_domain, proxy_address, administration_token
    And no settings error shows the token

  Scenario: The settings page documents each key in the order of the code
    When the settings page is read
    Then it lists the keys of the daemon and of the client with their defaults

  Scenario: Everything wrong in a file of selectors is listed and nothing is sent
    Given a file with an unknown label, shares of 90 percent and an agreed time in the past
    When hemlockctl checks the file
    Then hemlockctl exits with 3
    And its output names booking.targets, booking.shares_by_version

  Scenario: An unreachable daemon is one line with a remedy
    Given client settings that name a daemon that does not run
    When hemlockctl runs "status"
    Then hemlockctl exits with 7
    And its output is one error line

  Scenario: A plug-in that fails stops no other
    Given the example plug-in of the documentation and a plug-in that raises
    When a configuration change by "anna" is applied
    Then the example plug-in has counted 1 change by "anna"

  Scenario: An unknown plug-in is refused with the names that exist
    When the balancer "no_such" is loaded
    Then the plug-in error names "zone"

  Scenario: The time line keeps the causal order although clocks differ
    Given a process whose clock is 5 seconds behind another
    When the first sends a message to the second, which answers
    Then the merged time line shows send, receive, answer

  Scenario: A secret never appears in the log
    Given a log that hides the token
    When a line with the token is logged
    Then the log shows a placeholder
