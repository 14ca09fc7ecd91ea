"""Ports to targets; adapters for other wire formats are one module each."""

from lovagepier.targets import _http, _openai  # noqa: F401  register adapters
from lovagepier.targets._port import (
    ADAPTERS,
    LoadReport,
    NotDispatched,
    Stream,
    TargetAdapter,
    TargetBroken,
    TargetForgot,
    TargetGone,
    open_target,
)

__all__ = [
    "ADAPTERS",
    "LoadReport",
    "NotDispatched",
    "Stream",
    "TargetAdapter",
    "TargetBroken",
    "TargetForgot",
    "TargetGone",
    "open_target",
]
