"""Environment variable with which the platform passes the settings file."""

# Holds the path of the settings file, which the platform writes from the
# template deploy/settings.json.
SETTINGS_PATH_VARIABLE = 'HEMLOCKGRADE_NODE_FILE'
