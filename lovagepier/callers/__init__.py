"""HTTP API for callers."""

from lovagepier.callers._app import CallersApp
from lovagepier.callers._entries import entries_response

__all__ = ["CallersApp", "entries_response"]
