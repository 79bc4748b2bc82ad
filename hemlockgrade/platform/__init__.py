"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides, and nothing outside this folder knows the platform's
names. Each message is decoded once, into the types of `model`.
"""
