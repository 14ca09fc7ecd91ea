"""What the program needs of a target, and the registry of adapters."""

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
    "adapter",
    "create_adapter",
]

ADAPTERS = {}


class NotDispatched(Exception):
    """No byte of the request reached the target; it was not run."""


class TargetBroken(Exception):
    """The exchange broke after bytes may have reached the target."""


class TargetUnreachable(TargetBroken):
    """Nothing listens at the target any more: it has died."""


class UnknownRequestId(TargetBroken):
    """The target answers and does not know the request."""


@dataclass(slots=True)
class LoadReport:
    """A target's own, lagging report of its load."""

    running: int
    waiting: int
    incarnation: str = ""
    evicted_blocks: list = field(default_factory=list)
    loaded: list = field(default_factory=list)


@dataclass(slots=True)
class Stream:
    """An answer on its way: status, headers, and chunks of bytes.

    `chunks` raises `TargetBroken` where the transport breaks. `close` ends
    the exchange early.
    """

    status: int
    headers: dict
    chunks: object
    close: object


class TargetAdapter:
    """One wire format towards targets. Times are seconds.

    `resumes` tells whether a broken answer can be taken up again by id.
    """

    resumes = False

    def __init__(self, target):
        self.target = target

    def dispatch(self, exchange, timeout):
        """Send a request one time; return a `Stream`.

        Raise `NotDispatched` where provably no byte was sent, and
        `TargetBroken` where that can't be told.
        """
        raise NotImplementedError

    def resume(self, request_id, offset, timeout):
        """Return a `Stream` of a known id from a byte offset.

        Raise `UnknownRequestId` where the target does not know the id, and
        `TargetUnreachable` where nothing listens there.
        """
        raise NotImplementedError

    def cancel(self, request_id):
        """Ask the target to stop a request; errors are ignored."""

    def load(self, timeout):
        """Return a `LoadReport`, or None where the target gives none."""
        return None

    def known_ids(self, timeout):
        """Return the ids the target has been given, or None if unknown."""
        return None

    def order(self, body, fence, timeout):
        """Give an order with a fencing number; return whether it was taken."""
        raise NotImplementedError

    def is_whole(self, tail, streamed):
        """Return whether an answer that ends in `tail` has its end mark."""
        return True


def adapter(name):
    """Register a `TargetAdapter` under `name`."""

    def register(cls):
        ADAPTERS[name] = cls
        return cls

    return register


def create_adapter(target):
    """Return the adapter that the target's configuration names."""
    return ADAPTERS[target.adapter](target)
