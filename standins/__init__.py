"""Stand-ins for the systems that hemlockgrade works with, for tests."""
