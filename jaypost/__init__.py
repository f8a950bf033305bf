"""Configuration distribution for a service mesh."""

import time

__version__ = "0.1.0"

# Time at which this process began to load the package, before anything else of it, by the clock of
# `jaypost.freshness`.
STARTED_AT = time.clock_gettime(time.CLOCK_BOOTTIME)
