"""The signals that an entry host handles."""

import signal

__all__ = ["HANDLED_SIGNALS", "RELOAD_SIGNAL", "STOP_SIGNALS"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
HANDLED_SIGNALS = (*STOP_SIGNALS, RELOAD_SIGNAL)
