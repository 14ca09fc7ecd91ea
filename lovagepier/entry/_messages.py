"""Messages between entry hosts and the home. Times are seconds."""

from dataclasses import dataclass

from lovagepier.peers import message

__all__ = [
    "DispatchRequest",
    "Heartbeat",
    "StoreDelta",
    "DispatchResult",
    "FirstEvent",
    "Granted",
    "SnapshotRequest",
    "StoreSnapshot",
    "Refused",
    "RunningReport",
    "Roster",
    "Withdraw",
]


@message("e.beat")
@dataclass(slots=True)
class Heartbeat:
    """An entry host is there; its first one names it.

    `version` and `as_of` tell which configuration and store revision it
    has, `store_age` how long ago the store last answered it; `asks` whether
    the receiver is the home that it asks now.
    """

    name: str
    asks: bool
    zone: str
    callers: str
    leaving: bool
    version: int
    as_of: int
    store_age: float


@message("e.roster")
@dataclass(slots=True)
class Roster:
    """The home is there. `hosts` rows are [name, callers' address, zone, leaving].

    `condemned` are fingerprints that no host may run; `brakes` rows are
    [service, order revision, cause] of moves that were taken back;
    `store_age` is how long ago the store last answered the home. `hosts` is
    None where it is as last told on this link. `quotas` maps accounts whose
    quotas are nearly spent to the part of the burst that is left; `moves` rows
    are [service, order revision, sent, sent to the new version, its outcomes,
    its failures] of open moves.
    """

    home: str
    hosts: list | None
    version: int
    as_of: int
    store_age: float
    condemned: list
    brakes: list
    quotas: dict
    moves: list


@message("e.ask")
@dataclass(slots=True)
class DispatchRequest:
    """Wants leave to dispatch one request.

    `left` and `aim` are the seconds until the deadline and until the answer
    is late; `parts` are [id, tokens] rows; `attempt` counts dispatches of
    this request that reached a target; `cost` is what it counts against the
    account's quota, 0 where it was counted before.
    """

    id: str
    service: str
    account: str
    route: str
    tier: int
    left: float
    aim: float
    prefill: int
    decode: int
    parts: list
    fingerprint: str
    zone: str
    attempt: int
    exclude: list
    cost: float


@message("e.grant")
@dataclass(slots=True)
class Granted:
    """Leave to dispatch to one target's life."""

    id: str
    target: str
    life: str
    version: str
    why: str


@message("e.refuse")
@dataclass(slots=True)
class Refused:
    """The request must not be dispatched; `kind` is an `ErrorKind`."""

    id: str
    kind: str
    why: str
    retry_after: float


@message("e.first")
@dataclass(slots=True)
class FirstEvent:
    """The first event came `seconds` after dispatch."""

    id: str
    seconds: float


@message("e.done")
@dataclass(slots=True)
class DispatchResult:
    """What became of a granted request; see `decisions.work.Outcome`."""

    id: str
    target: str
    status: str
    first: float | None
    total: float | None
    tokens: int


@message("e.withdraw")
@dataclass(slots=True)
class Withdraw:
    """The caller of a waiting or running request went away."""

    id: str


@message("e.register")
@dataclass(slots=True)
class RunningReport:
    """What an entry host has running, for a home that may not know.

    `running` rows are [ask fields, target]; `condemned` are fingerprints;
    `brakes` rows are as in `Roster`.
    """

    running: list
    condemned: list
    brakes: list


@message("e.changed")
@dataclass(slots=True)
class StoreDelta:
    """What changed in the store after revision `after`, up to `as_of`.

    Rows are [key, revision, created, value, base], packed: the value is None
    where the key was deleted, and steps from the value at revision `base` (see
    `_deltas`) where `base` is not 0.
    """

    after: int
    as_of: int
    packed: bytes


@message("e.mirror?")
@dataclass(slots=True)
class SnapshotRequest:
    """Wants the store's contents as the receiver last saw them."""

    after: int


@message("e.mirror")
@dataclass(slots=True)
class StoreSnapshot:
    """The store's contents as of a revision; rows are [key, value, revision,
    created], packed."""

    as_of: int
    packed: bytes
