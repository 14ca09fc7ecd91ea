"""Messages to the pool actor, and the encoding of `Work` between nodes."""

from dataclasses import dataclass

from lovagepier.decisions.placement.work import Work
from lovagepier.peers import messages

__all__ = [
    "FirstByteReported",
    "KnownIdsReported",
    "LoadReported",
    "LookupRequested",
    "OutcomeReported",
    "PauseRequested",
    "PermitRequested",
    "RequestWithdrawn",
    "Retire",
    "RunningReported",
    "TargetsDraining",
    "decode_work",
    "encode_work",
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
    """Return the fields of a `Work` that `PermitRequest` does not have, as a list."""
    values = [getattr(work, name) for name in _WORK_FIELDS]
    return [*values, sorted(work.exclude)]


def decode_work(head, values, deadline):
    """Return the `Work` for `values` as `encode_work` returns them.

    `head` is (id, tier, nonce); `deadline` is seconds on this node's clock.
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
    """A request for a permit; `reply` takes one or more `PermitResponse`s."""

    body: messages.PermitRequest
    reply: object


@dataclass(slots=True, frozen=True)
class LookupRequested:
    """A question whether an id was dispatched; `reply` takes a `PermitResponse`."""

    body: messages.PoolLookup
    reply: object


@dataclass(slots=True, frozen=True)
class FirstByteReported:
    """The time to first byte of a granted request."""

    body: messages.PoolFirstByte


@dataclass(slots=True, frozen=True)
class OutcomeReported:
    """The outcome of a granted request."""

    body: messages.PoolFinished


@dataclass(slots=True, frozen=True)
class RequestWithdrawn:
    """The entry host no longer waits for a request."""

    id: str


@dataclass(slots=True, frozen=True)
class PauseRequested:
    """Another region's pool of the same subject shed a request of this tier."""

    tier: int


@dataclass(slots=True, frozen=True)
class RunningReported:
    """Running requests of an entry host that another coordinator granted."""

    running: list


@dataclass(slots=True, frozen=True)
class LoadReported:
    """A target's load report; None if it could not be read."""

    target: str
    report: object


@dataclass(slots=True, frozen=True)
class KnownIdsReported:
    """The request ids that a target was given; None if it did not answer."""

    target: str
    ids: list | None


@dataclass(slots=True, frozen=True)
class TargetsDraining:
    """The names of all targets that the host list shows as "leaving"."""

    names: frozenset


@dataclass(slots=True, frozen=True)
class Retire:
    """Another node coordinates this pool from now on."""

    new_coordinator: str
