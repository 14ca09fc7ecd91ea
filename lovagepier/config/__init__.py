"""The operators' versioned configuration: schema, typed view and store."""

from lovagepier.config._schema import check_document, empty_document
from lovagepier.config._store import ConfigRecord, ConfigStore, PatchError
from lovagepier.config._view import (
    DEFAULT_LINK_BURST_BYTES,
    DEFAULT_LINK_BYTES_PER_S,
    Account,
    ConfigView,
    Model,
    Target,
)

__all__ = [
    "DEFAULT_LINK_BURST_BYTES",
    "DEFAULT_LINK_BYTES_PER_S",
    "Account",
    "ConfigRecord",
    "ConfigStore",
    "ConfigView",
    "Model",
    "PatchError",
    "Target",
    "check_document",
    "empty_document",
]
