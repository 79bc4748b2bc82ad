"""Where the platform puts the settings, filled into deploy/settings.json."""

# Holds the path of the settings file.
VARIABLE = 'HEMLOCKGRADE_NODE_FILE'
