"""What the pool actor is told, and the fields of work that travel."""

from dataclasses import dataclass

from lovagepier.decisions.work import Work
from lovagepier.peers import messages

__all__ = [
    "PermitRequested",
    "OutcomeReported",
    "FirstByteReported",
    "KnownIdsReported",
    "LookupRequested",
    "PauseRequested",
    "RunningReported",
    "LoadReported",
    "Retire",
    "TargetsDraining",
    "RequestWithdrawn",
    "encode_work",
    "decode_work",
]

_WORK_FIELDS = (
    "entry",
    "account",
    "weight",
    "route",
    "prefill_tokens",
    "max_decode_tokens",
    "blocks",
    "draw",
    "fingerprint",
    "zone",
    "body_bytes",
    "attempt",
)


def encode_work(work):
    """Return the rest of a `Work` as a list: what `PermitRequest` does not name."""
    values = [getattr(work, name) for name in _WORK_FIELDS]
    return [*values, sorted(work.exclude)]


def decode_work(head, values, deadline):
    """Return the `Work` of travelled fields; `head` is (id, tier, nonce).

    `deadline` is seconds on this node's clock.
    """
    *known, exclude = values
    fields = dict(zip(_WORK_FIELDS, known, strict=True))
    fields["blocks"] = tuple(fields["blocks"])
    request_id, tier, nonce = head
    return Work(
        id=request_id,
        tier=tier,
        nonce=nonce,
        deadline=deadline,
        exclude=frozenset(exclude),
        **fields,
    )


@dataclass(slots=True, frozen=True)
class PermitRequested:
    """A request for a permit; `reply` takes `PermitResponse`s."""

    body: messages.PermitRequest
    reply: object


@dataclass(slots=True, frozen=True)
class LookupRequested:
    """A question whether an id is known here."""

    body: messages.PoolLookup
    reply: object


@dataclass(slots=True, frozen=True)
class FirstByteReported:
    """A granted request's first byte came."""

    body: messages.PoolFirstByte


@dataclass(slots=True, frozen=True)
class OutcomeReported:
    """A granted request is over."""

    body: messages.PoolFinished


@dataclass(slots=True, frozen=True)
class RequestWithdrawn:
    """A waiting request's caller went away."""

    id: str


@dataclass(slots=True, frozen=True)
class PauseRequested:
    """Another region's pool lost work of a tier for lack of room."""

    tier: int


@dataclass(slots=True, frozen=True)
class RunningReported:
    """Running work of an entry node that another home granted."""

    running: list


@dataclass(slots=True, frozen=True)
class LoadReported:
    """A target's load report."""

    target: str
    report: object


@dataclass(slots=True, frozen=True)
class KnownIdsReported:
    """The ids that a target says it was given; None if it did not say."""

    target: str
    ids: list | None


@dataclass(slots=True, frozen=True)
class TargetsDraining:
    """Names of targets that take no new work."""

    names: frozenset


@dataclass(slots=True, frozen=True)
class Retire:
    """Another node is this pool's home from now on."""

    home: str
