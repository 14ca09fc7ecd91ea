"""A request scheduler for heterogeneous engines."""

from functools import cache

__version__ = "0.1.0"


@cache
def build_name():
    """Return the version, and the commit if the build wrote it down."""
    try:
        from lovagepier_commit import COMMIT
    except ImportError:
        return __version__
    return f"{__version__}+{COMMIT}" if COMMIT else __version__
