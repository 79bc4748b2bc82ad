"""Test doubles of the systems that hemlockgrade talks to."""
