"""Ignore SIGHUP from the first moment of a process.

It asks for the settings to be read again and would end a process that is
still loading its modules, which read them anyway.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
