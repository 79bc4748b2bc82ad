"""Implements the commands of hemlockctl; one module per command group."""
