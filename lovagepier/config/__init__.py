"""The operators' numbered configuration: schema, typed view and store."""

from lovagepier.config._schema import check_document, empty_document
from lovagepier.config._store import ConfigRecord, ConfigStore, PatchError
from lovagepier.config._view import Account, ConfigView, Model, Target

__all__ = [
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
