"""Ignore SIGHUP as soon as this module is imported.

SIGHUP requests a reload of the settings. Its default action would terminate a
process that is still importing modules; such a process reads the settings
afterwards anyway.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
