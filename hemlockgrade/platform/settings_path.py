"""Where the platform puts the settings, filled into deploy/settings.json."""

# Holds the path of the settings file.
SETTINGS_PATH_VARIABLE = 'HEMLOCKGRADE_NODE_FILE'
