"""Gauges that show which builds and formats are in the fleet."""

import json
from collections import Counter
from dataclasses import asdict

from lovagepier import build_name
from lovagepier.formats import OWN_FORMATS

__all__ = ["build_gauges"]

# Columns of a host's row with its format and its build.
_FORMAT_COLUMN = 5
_BUILD_COLUMN = 6
MAX_LABEL_CHARS = 60


def build_gauges(host_rows, link_counts):
    """Return gauges by name, from the rows of a `Roster` and the `LinkCounts`."""
    builds = Counter(map(_labels, host_rows))
    return {
        f"build_info{_labels_text(build_name(), OWN_FORMATS, 'formats')}": 1,
        **{
            f"hosts_by_build{_labels_text(*labels)}": count
            for labels, count in sorted(builds.items())
        },
        **{f"link_{name}": count for name, count in asdict(link_counts).items()},
    }


def _labels(row):
    """Return the build and the format of a host, as its coordinator reported them."""
    if len(row) <= _BUILD_COLUMN:
        return "unknown", "unknown"
    build = str(row[_BUILD_COLUMN]) or "unknown"
    return build[:MAX_LABEL_CHARS], str(row[_FORMAT_COLUMN])[:MAX_LABEL_CHARS]


def _labels_text(build, number, name="format"):
    return f"{{build={json.dumps(build)},{name}={json.dumps(number)}}}"
