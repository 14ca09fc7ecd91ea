"""Binary deltas of long documents.

Most changes of a configuration with many routes touch one route: hosts then send
each other that row instead of the whole document.
"""

from difflib import SequenceMatcher

__all__ = ["apply_delta", "make_delta"]

_ROW_END = b"},"
# Shorter documents are sent whole.
MIN_DELTA_BYTES = 2000


def _rows(data):
    parts = data.split(_ROW_END)
    return [part + _ROW_END for part in parts[:-1]] + [parts[-1]]


def make_delta(old, new):
    """Return the steps that turn `old` bytes into `new`.

    A step is [first row, row after the last] to copy from `old`, or new bytes.
    Returns None if `new` should be sent whole: there is no `old` or it is empty, `new`
    is short, or the delta would not be less than half as long.
    """
    if not old or len(new) < MIN_DELTA_BYTES:
        return None
    old_rows, new_rows = _rows(old), _rows(new)
    matcher = SequenceMatcher(None, old_rows, new_rows, autojunk=False)
    steps = []
    for tag, old_start, old_end, new_start, new_end in matcher.get_opcodes():
        if tag == "equal":
            steps.append([old_start, old_end])
        elif new_end > new_start:
            steps.append(b"".join(new_rows[new_start:new_end]))
    size = sum(len(step) for step in steps)
    return steps if size < len(new) // 2 else None


def apply_delta(old, steps):
    """Return the bytes that `steps` from `make_delta` build from `old`."""
    rows = _rows(old)
    return b"".join(
        step if isinstance(step, bytes) else b"".join(rows[step[0] : step[1]])
        for step in steps
    )
