"""Adapter to the users' platform.

Only this package contains the platform's names, formats and paths. It converts
each message of the platform once to the types of `model`, and makes no
decisions on the content.
"""
