"""Plug-ins that ship with hemlockgrade and register by entry point."""
