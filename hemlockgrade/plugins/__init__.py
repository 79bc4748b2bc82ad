"""Plug-ins that are part of hemlockgrade and register when imported."""
