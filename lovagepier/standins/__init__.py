"""Stand-ins for the systems around the scheduler, for tests and trials."""

from lovagepier.standins import (  # noqa: F401  each registers itself
    _engine,
    _hosts,
    _kv,
    _records,
    _weights,
)
from lovagepier.standins._registry import STANDINS, standin

__all__ = ["STANDINS", "standin"]
