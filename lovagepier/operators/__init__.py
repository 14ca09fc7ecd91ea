"""HTTP API for operators."""

from lovagepier.operators._app import OperatorsApp

__all__ = ["OperatorsApp"]
