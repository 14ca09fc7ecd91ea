"""Binary deltas of long documents.

Most changes of a configuration with many routes touch one route: hosts then send
each other that row instead of the whole document.
"""

from bisect import bisect_left

__all__ = ["apply_delta", "make_delta"]

_ROW_END = b"},"
# Shorter documents are sent whole.
MIN_DELTA_BYTES = 2000
# Size of an encoded step that copies rows: a list of two numbers up to 65,535.
COPY_STEP_BYTES = 7


def _rows(data):
    parts = data.split(_ROW_END)
    return [part + _ROW_END for part in parts[:-1]] + [parts[-1]]


def make_delta(old, new):
    """Return the steps that turn `old` bytes into `new`.

    A step is [first row, row after the last] to copy from `old`, or new bytes.
    Returns None if `new` should be sent whole: there is no `old` or it is empty, `new`
    is short, or the delta would not be less than half as long.

    Rows are found by their content, so the time grows with the documents' length and
    not with how often a row comes again.
    """
    if not old or len(new) < MIN_DELTA_BYTES:
        return None
    steps = _copy_rows(_rows(old), _rows(new))
    size = sum(
        len(step) if isinstance(step, bytes) else COPY_STEP_BYTES for step in steps
    )
    return steps if size < len(new) // 2 else None


def _copy_rows(old_rows, new_rows):
    """Return steps that copy each new row that there is an equal old one of."""
    places = {}
    for place, row in enumerate(old_rows):
        places.setdefault(row, []).append(place)
    steps = []
    added = []
    expected = 0
    for row in new_rows:
        place = _nearest(places.get(row), expected)
        if place is None:
            added.append(row)
            # Most rows that are not found replace one.
            expected += 1
            continue
        if added:
            steps.append(b"".join(added))
            added = []
        if steps and isinstance(steps[-1], list) and steps[-1][1] == place:
            steps[-1][1] = place + 1
        else:
            steps.append([place, place + 1])
        expected = place + 1
    if added:
        steps.append(b"".join(added))
    return steps


def _nearest(places, expected):
    """Return the first of the ascending places from `expected` on, else the last."""
    if not places:
        return None
    number = bisect_left(places, expected)
    return places[number] if number < len(places) else places[-1]


def apply_delta(old, steps):
    """Return the bytes that `steps` from `make_delta` build from `old`."""
    rows = _rows(old)
    return b"".join(
        step if isinstance(step, bytes) else b"".join(rows[step[0] : step[1]])
        for step in steps
    )
