"""What the scheduler knows of one request; the body stays at its entry node."""

from dataclasses import dataclass

__all__ = ["Grant", "Join", "Outcome", "Refusal", "Work"]


@dataclass(slots=True)
class Work:
    """One request as the scheduler sees it.

    `deadline` and `arrived` are seconds on the home's clock. `tier` 0 is the
    highest. `blocks` are chained hashes of prompt blocks, longest last.
    `draw` in [0, 1) fixes which version the request gets. `block_tokens` are
    the blocks' sizes where they differ; `soft_deadline` is when the answer is late, 0
    where nothing is said, and `latest_on_time_start` the latest start for it.
    `decode_tokens` is learnt unless given. `retry_reserve` is the part of the
    retry budget that a repeat of this work leaves to others; `may_overbook` that
    it may wait at a full target for the next slot, as the top tier does. `cost`
    is what was counted against its account's quota; `late_tier` the tier that it
    moves to once it can't be on time.
    """

    id: str
    entry: str
    account: str
    tier: int
    deadline: float
    weight: float = 1.0
    route: str = ""
    prefill_tokens: int = 0
    max_decode_tokens: int = 0
    blocks: tuple = ()
    draw: float = 0.0
    fingerprint: str = ""
    zone: str = ""
    body_bytes: int = 0
    exclude: frozenset = frozenset()
    attempt: int = 0
    nonce: str = ""
    arrived: float = 0.0
    decode_tokens: float = 0.0
    latest_start: float = 0.0
    sequence: int = 0
    awaits_cache: bool = False
    block_tokens: tuple = ()
    soft_deadline: float = 0.0
    latest_on_time_start: float = float("inf")
    retry_reserve: float = 0.0
    may_overbook: bool = False
    cost: float = 0.0
    late_tier: int = 0

    def hit_tokens(self, depth):
        """Return the prompt tokens in the first `depth` blocks."""
        if self.block_tokens:
            return sum(self.block_tokens[:depth])
        return int(depth * self.prefill_tokens / len(self.blocks))


@dataclass(slots=True)
class Grant:
    """Permission to dispatch one request to one target."""

    work: Work
    target: str
    version: str
    hit_tokens: int = 0
    why: str = ""


@dataclass(slots=True)
class Join:
    """The request is already running or done at `target`; do not dispatch."""

    work: Work
    target: str
    finished: bool = False


@dataclass(slots=True)
class Refusal:
    """The request was not run; `kind` is an `ErrorKind`."""

    work: Work
    kind: str
    why: str = ""
    retry_after: float = 1.0


@dataclass(slots=True)
class Outcome:
    """What became of a granted request, as its entry node saw it.

    `first_seconds` is dispatch to first byte of a streamed answer,
    `total_seconds` dispatch to end; None where that point was not reached.
    `status` is one of ok, failed, refused, late, cancelled, died (nothing
    listens there any more), vanished (the target does not know the id),
    not-run (the target could not be connected to), returned (the grant was
    not used) and lost (no outcome will come).
    """

    id: str
    target: str
    status: str
    first_seconds: float | None = None
    total_seconds: float | None = None
    decode_tokens: int = 0
    in_time: bool = True
