"""The interface of target adapters and their registry."""

from dataclasses import dataclass, field

__all__ = [
    "ADAPTERS",
    "LoadReport",
    "NotDispatched",
    "Stream",
    "TargetAdapter",
    "TargetBroken",
    "UnknownRequestId",
    "TargetUnreachable",
    "create_adapter",
    "register_adapter",
]

ADAPTERS = {}


class NotDispatched(Exception):
    """No byte of the request was sent, so the target has not run it."""


class TargetBroken(Exception):
    """The connection failed after bytes may have reached the target."""


class TargetUnreachable(TargetBroken):
    """No connection to the target can be made; it is taken to have crashed."""


class UnknownRequestId(TargetBroken):
    """The target answers but does not know the request id."""


@dataclass(slots=True)
class LoadReport:
    """A target's own report of its load, which lags behind.

    `incarnation` changes when the target restarts. `evicted_blocks` are the
    prefix blocks that it has dropped from its cache since the last report.
    `loaded` lists the versions whose weights it holds.
    """

    running: int
    waiting: int
    incarnation: str = ""
    evicted_blocks: list = field(default_factory=list)
    loaded: list = field(default_factory=list)


@dataclass(slots=True)
class Stream:
    """A response that is being received: status, headers and chunks of bytes.

    `chunks` is an iterable that raises `TargetBroken` if the connection fails.
    `close` aborts the response.
    """

    status: int
    headers: dict
    chunks: object
    close: object


class TargetAdapter:
    """Base class of the adapters, one for each wire format. Timeouts are in seconds.

    `resumes` is true if an interrupted answer can be resumed by request id.
    """

    resumes = False

    def __init__(self, target):
        self.target = target

    def dispatch(self, request, timeout):
        """Send `request`, a `TargetRequest`, once; return a `Stream`.

        Raise `NotDispatched` if certainly no byte was sent, otherwise
        `TargetBroken`.
        """
        raise NotImplementedError

    def resume(self, request_id, offset, timeout):
        """Return a `Stream` of a known request id from a byte offset.

        Raise `UnknownRequestId` if the target does not know the id, and
        `TargetUnreachable` if no connection can be made.
        """
        raise NotImplementedError

    def cancel(self, request_id):
        """Ask the target to stop a request; errors are ignored."""

    def load(self, timeout):
        """Return a `LoadReport`, or None if the target does not report its load."""
        return None

    def known_ids(self, timeout):
        """Return the ids of the requests it has received, or None if unknown."""
        return None

    def order(self, body, fence, timeout):
        """Send an order with a fencing number; return whether it was accepted.

        `body` is the order as JSON, such as one to load the weights of a version.
        """
        raise NotImplementedError

    def is_complete(self, tail, streamed):
        """Return whether an answer that ends in `tail` is complete."""
        return True


def register_adapter(name):
    """Return a decorator that registers a `TargetAdapter` class under `name`."""

    def register(cls):
        ADAPTERS[name] = cls
        return cls

    return register


def create_adapter(target):
    """Return a new adapter of the type that the target's configuration names."""
    return ADAPTERS[target.adapter](target)
