"""The scheduler's description of requests, and its decisions about them.

The body of a request stays on its entry host.
"""

from dataclasses import dataclass

__all__ = ["Grant", "Join", "Outcome", "Refusal", "Work", "bounded_tokens"]

# Larger numbers are no counts of tokens, and may overflow where times are estimated.
MAX_TOKENS = 10**9


def bounded_tokens(count):
    """Return a count of tokens within bounds, whoever stated it."""
    return min(max(count, 0), MAX_TOKENS)


@dataclass(slots=True)
class Work:
    """One request as the scheduler sees it.

    Times are seconds on the coordinator's clock:
    - `deadline`: the request must be complete by then.
    - `arrived`: when it reached the scheduler.
    - `latest_start`: the last start at which it can still meet its deadline, and begin
      before its caller leaves.
    - `soft_deadline`: after this its response is late; 0 if there is none.
    - `abandoned_at`: when the caller leaves unless the response has begun.
    - `latest_on_time_start`: the last start at which it can still meet that.
    - `least_first_s`: a lower bound on the time from its start to the first event.

    Order and place:
    - `entry`: the entry host that asked and holds the body.
    - `tier`: 0 is the highest; `late_tier` is the tier that it moves to once it will
      miss its soft deadline.
    - `weight`: of its account in fair queueing.
    - `draw`: a number in [0, 1) that selects the version during a rollout.
    - `exclude`: names of targets that must not get it.
    - `regions`: where its targets must be, empty for any region; see `residence`.
    - `may_overbook`: whether it may wait at a full target for the next slot, as
      tier 0 may.
    - `runs_once`: whether it must not run a second time.
    - `awaits_cache`: it is queued for a target that has its prefix cached.
    - `overtaken_until`: until then others may overtake it, as it waits for memory of
      targets; -inf if it doesn't.
    - `sequence`: its number in order of arrival.

    Size:
    - `prefill_tokens`: of the prompt; `max_decode_tokens` is the caller's limit, 0 if
      there is none, and `decode_tokens` the expected length, learnt unless given.
    - `blocks`: chained hashes of the prompt's blocks, longest prefix last;
      `block_tokens` are the blocks' sizes where they differ.
    - `body_bytes`: size of the body.

    Identity and budgets:
    - `fingerprint`: identifies the body, for poison requests and reused ids.
    - `parts`: ids of the prompt's parts that other requests may share.
    - `attempt`: 0 for the first; `nonce` identifies the attempt.
    - `retry_reserve`: the fraction of the retry budget that a retry leaves to others.
    - `cost`: what was charged to the account's quota.
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
    parts: tuple = ()
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
    abandoned_at: float = float("inf")
    regions: tuple = ()
    runs_once: bool = False
    least_first_s: float = 0.0
    overtaken_until: float = float("-inf")

    @property
    def memory_tokens(self):
        """The tokens that it may hold in its target's memory: prompt and answer."""
        return self.prefill_tokens + (self.max_decode_tokens or self.decode_tokens)

    def hit_tokens(self, depth):
        """Return the prompt tokens in the first `depth` blocks."""
        if not depth:
            return 0
        if self.block_tokens:
            return sum(self.block_tokens[:depth])
        return int(depth * self.prefill_tokens / len(self.blocks))


@dataclass(slots=True)
class Grant:
    """Permission to dispatch one request to one target.

    `hit_tokens` are the prompt tokens expected in the target's cache. `paced` tells
    whether it was counted as one for a cold target, None if the target has no such
    bound.
    """

    work: Work
    target: str
    version: str
    hit_tokens: int = 0
    why: str = ""
    paced: bool | None = None


@dataclass(slots=True)
class Join:
    """The request runs or ran at `target` already; it must not be dispatched again."""

    work: Work
    target: str
    finished: bool = False


@dataclass(slots=True)
class Refusal:
    """The request is not run; `kind` is an `ErrorKind`, `retry_after` in seconds."""

    work: Work
    kind: str
    why: str = ""
    retry_after: float = 1.0


@dataclass(slots=True)
class Outcome:
    """The outcome of a granted request as its entry host saw it.

    `first_seconds` is the time from dispatch to the first byte of a streamed
    response, `total_seconds` that to its end; None if that point was not reached. Of a
    request that was cancelled before any response, `total_seconds` is the time until
    then.
    `status` is one of ok, failed, refused, late, cancelled, died (the target refuses
    connections after it began to run the request), unreachable (it refuses
    connections, so the request was not sent), vanished (the connection ended, or the
    target has no record of the id), cut-off (the entry host lost its path to the
    target), not-run (no connection to the target, or it did not run the request),
    paused (the same, and it requested a pause from the entry host), returned (the
    grant was not used) and lost (no outcome will arrive). `in_time` tells whether the
    deadline was met.
    """

    id: str
    target: str
    status: str
    first_seconds: float | None = None
    total_seconds: float | None = None
    decode_tokens: int = 0
    in_time: bool = True
