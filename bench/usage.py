"""CPU time and memory of another process, read from ``/proc``."""

import os
import pathlib
import typing

_TICKS_PER_S: typing.Final = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES: typing.Final = os.sysconf('SC_PAGE_SIZE')


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='ascii')
    return int(statm.split()[1]) * _PAGE_BYTES
