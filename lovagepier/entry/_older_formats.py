"""Fall-backs for older formats: rows inside fields, as those builds read them."""

__all__ = ["host_rows", "readable_progress", "rollout_rows"]

# Columns of a host's row in formats 1, 2 to 4, and later ones.
_HOST_COLUMNS = {1: 4, 2: 5, 3: 5, 4: 5}
# Parts of a comparison of versions that formats 1 to 4 have in common.
_COMMON_PARTS = 4
# Items of the fifth part in this format, the last ones lists of counts.
_EPISODE_ITEMS = 5
_EPISODE_COUNTS = 3
# Columns of a rollout's row before its comparisons.
_PROGRESS_COUNTS = 6


def host_rows(rows, number):
    """Return the `hosts` of a `Roster` for an older format."""
    if rows is None:
        return None
    count = _HOST_COLUMNS[number]
    return [row[:count] for row in rows]


def rollout_rows(rows, number):
    """Return the `rollouts` of a `Roster` for an older format.

    The fifth part of a comparison differs in formats 1, 3 and 4, and 4 can't be told
    from 3.
    """
    return [_with_common_parts(row) for row in rows]


def _with_common_parts(row):
    *counts, (thresholds, comparisons) = row
    return [
        *counts,
        [
            thresholds,
            {route: parts[:_COMMON_PARTS] for route, parts in comparisons.items()},
        ],
    ]


def readable_progress(rows):
    """Return the `rollouts` of a received `Roster`, without parts of another shape.

    Format 3 has another fifth part of a comparison.
    """
    return [_readable(row) for row in rows]


def _readable(row):
    if len(row) <= _PROGRESS_COUNTS:
        return row
    *counts, (thresholds, comparisons) = row
    return [
        *counts,
        [
            thresholds,
            {route: _readable_parts(parts) for route, parts in comparisons.items()},
        ],
    ]


def _readable_parts(parts):
    if len(parts) <= _COMMON_PARTS or _is_episode(parts[_COMMON_PARTS]):
        return parts
    return parts[:_COMMON_PARTS]


def _is_episode(part):
    if not part:
        return True
    return len(part) == _EPISODE_ITEMS and all(
        isinstance(each, list) for each in part[-_EPISODE_COUNTS:]
    )
