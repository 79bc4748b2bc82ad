"""Test doubles: small processes that stand in for outside systems."""
