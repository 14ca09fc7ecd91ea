"""Failures of connections to targets."""

__all__ = ["SecondResponseFound", "TargetConnectionLost"]


class TargetConnectionLost(Exception):
    """The connection ended or broke HTTP after the request was sent.

    The target may have run the request.
    """


class SecondResponseFound(TargetConnectionLost):
    """A body holds a second response, so what the first one states is not certain."""
