"""One node: its actors, what they share, and how it starts and stops."""

from lovagepier.node._node import Node

__all__ = ["Node"]
