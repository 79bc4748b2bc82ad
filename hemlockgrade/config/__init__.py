"""Settings of the daemon and of the command-line tool."""
