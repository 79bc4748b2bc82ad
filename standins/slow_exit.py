"""Plug-in that delays the clean-up of the interpreter."""

import atexit
import time

# Longer than the time that a daemon may take to end, in seconds.
DELAY_S = 10.0

atexit.register(time.sleep, DELAY_S)
