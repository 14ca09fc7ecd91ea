"""Counts what a function does in steps, so that a test needs no clock."""

import gc
import sys

__all__ = ["count_lines"]


def count_lines(function, limit):
    """Return what `function()` returns; fail once it has run over `limit` lines.

    Counted are lines of Python, also in the functions that it calls.
    """
    count = 0

    def on_line(frame, event, arg):
        nonlocal count
        count += event == "line"
        if count > limit:
            raise AssertionError(f"over {limit} lines of Python")
        return on_line

    # Collections may come at any moment and have callbacks.
    gc.disable()
    sys.settrace(on_line)
    try:
        return function()
    finally:
        sys.settrace(None)
        gc.enable()
