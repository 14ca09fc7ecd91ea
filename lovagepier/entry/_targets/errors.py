"""Failures of connections to targets."""

__all__ = ["SecondResponseFound", "TargetConnectionLost", "TargetEnded", "lost_by"]

# How h11's messages on a response begin whose connection ended before it did.
_ENDED = "peer "


class TargetConnectionLost(Exception):
    """The connection ended or broke HTTP after the request was sent.

    The target may have run the request.
    """


class TargetEnded(TargetConnectionLost):
    """The connection ended before the response did: all that was read is its own."""


class SecondResponseFound(TargetConnectionLost):
    """A body holds a second response, so what the first one states is not certain."""


def lost_by(exc):
    """Return the `TargetConnectionLost` for an `h11.RemoteProtocolError`."""
    why = str(exc)
    return (TargetEnded if why.startswith(_ENDED) else TargetConnectionLost)(why)
