"""Ignores SIGHUP from the import of this module on.

The signal announces changed settings. Its default action ends a process that
has not installed its handler yet; one that is starting reads the settings
anyway, and looks for changes regularly.
"""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
