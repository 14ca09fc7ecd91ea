"""A request scheduler for heterogeneous engines."""

__version__ = "0.1.0"
