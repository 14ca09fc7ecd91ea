"""Adapters for the wire formats of targets, one module for each format."""

from lovagepier.targets import _http, _openai  # noqa: F401  register adapters
from lovagepier.targets._port import (
    ADAPTERS,
    LoadReport,
    NotDispatched,
    Stream,
    TargetAdapter,
    TargetBroken,
    TargetUnreachable,
    UnknownRequestId,
    create_adapter,
)

__all__ = [
    "ADAPTERS",
    "LoadReport",
    "NotDispatched",
    "Stream",
    "TargetAdapter",
    "TargetBroken",
    "UnknownRequestId",
    "TargetUnreachable",
    "create_adapter",
]
