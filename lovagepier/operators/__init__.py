"""The HTTP side towards operators."""

from lovagepier.operators._app import OperatorsApp

__all__ = ["OperatorsApp"]
