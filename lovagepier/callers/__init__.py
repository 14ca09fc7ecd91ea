"""The HTTP side towards callers."""

from lovagepier.callers._app import CallersApp

__all__ = ["CallersApp"]
