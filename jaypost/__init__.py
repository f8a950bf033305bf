"""Configuration distribution for a service mesh."""

import time

__version__ = "0.1.0"

# Monotonic time at which this process began to load the package, before anything else of it.
STARTED_AT = time.monotonic()
