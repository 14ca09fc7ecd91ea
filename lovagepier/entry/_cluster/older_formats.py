"""Fallbacks for older formats: rows inside fields, as those builds read them."""

from lovagepier.logs import component_logger

__all__ = ["host_rows", "readable_progress", "rollout_rows"]

# Columns of a host's row in formats 1 and 2 to 4; later ones have all.
_HOST_COLUMNS = {1: 4, 2: 5, 3: 5, 4: 5}
# Since this format comparisons have the same parts.
_SAME_PARTS_SINCE = 5
# Columns of a rollout's row before its [thresholds, comparisons], which older builds
# take for the last one.
_PROGRESS_COUNTS = 6
# Thresholds of a route, and parts of a comparison that formats 1 to 4 have in common.
_COMMON_THRESHOLDS = 3
_COMMON_PARTS = 4
# Items of the fifth part since format 4, the last ones lists of counts.
_EPISODE_ITEMS = 5
_EPISODE_COUNTS = 3

_log = component_logger("peers")


def host_rows(rows, number):
    """Return the `hosts` of a `Roster` for an older format."""
    if rows is None:
        return None
    count = _HOST_COLUMNS.get(number)
    return [row[:count] for row in rows]


def rollout_rows(rows, number):
    """Return the `rollouts` of a `Roster` for an older format.

    The fifth part of a comparison differs in formats 1, 3 and 4, and format 4
    can't be distinguished from 3.
    """
    if number >= _SAME_PARTS_SINCE:
        return rows
    return [_with_common_parts(row) for row in rows]


def _with_common_parts(row):
    thresholds, comparisons = row[_PROGRESS_COUNTS]
    return [
        *row[:_PROGRESS_COUNTS],
        [
            {key: values[:_COMMON_THRESHOLDS] for key, values in thresholds.items()},
            {route: parts[:_COMMON_PARTS] for route, parts in comparisons.items()},
        ],
    ]


def readable_progress(rows):
    """Yield the `rollouts` of a received `Roster`, without parts of another shape.

    Format 3 has another fifth part of a comparison. Rows that can't be read are left
    out.
    """
    for row in rows:
        try:
            yield _readable(row)
        except (AttributeError, TypeError, ValueError) as exc:
            _log.warning("could not read the progress of a rollout", exc_info=exc)


def _readable(row):
    if len(row) <= _PROGRESS_COUNTS:
        return row
    thresholds, comparisons = row[_PROGRESS_COUNTS]
    parts = {route: _readable_parts(each) for route, each in comparisons.items()}
    return [
        *row[:_PROGRESS_COUNTS],
        [thresholds, parts],
        *row[_PROGRESS_COUNTS + 1 :],
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
