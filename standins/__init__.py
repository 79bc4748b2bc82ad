"""Stand-ins for the systems around hemlockgrade, for trials and tests."""
