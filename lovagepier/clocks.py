"""Clocks of the process beside those of the standard library."""

import time

__all__ = ["uptime"]


def uptime():
    """Return seconds of a steady clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
