"""Typed settings of the daemon and the command-line tool."""
