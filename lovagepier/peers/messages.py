"""Every message between nodes. Times are seconds, counts are plain numbers."""

from dataclasses import dataclass, field

from lovagepier.peers._codec import message

__all__ = [
    "RollbackNotice",
    "ClaimRequest",
    "ClaimRelease",
    "ClaimSettle",
    "ClaimResponse",
    "ConfigAnnouncement",
    "ConfigPull",
    "ConfigSnapshot",
    "EventsRequest",
    "EventsResponse",
    "EvidenceUpdate",
    "PermitResponse",
    "PermitRequest",
    "PoolFinished",
    "PoolFirstByte",
    "PoolLookup",
    "PoolPause",
    "PoolRegister",
    "PoolWithdraw",
    "ProbeAck",
    "Probe",
    "StatusRequest",
    "StatusResponse",
    "PoisonNotice",
]


@message("ping")
@dataclass(slots=True)
class Probe:
    """A probe; `target` differs from the receiver if it is to be relayed.

    `updates` are [name, incarnation, status, facts] rows.
    """

    origin: str
    target: str
    sequence: int
    config_version: int
    updates: list

    def check(self):
        """Raise if a field is of the wrong kind."""
        _check_rows(self.updates, (str, int, int, dict))
        int(self.config_version)


@message("pong")
@dataclass(slots=True)
class ProbeAck:
    """The answer to a probe, with updates of its own."""

    origin: str
    sequence: int
    config_version: int
    updates: list

    def check(self):
        """Raise if a field is of the wrong kind."""
        _check_rows(self.updates, (str, int, int, dict))


def _check_rows(rows, kinds):
    for row in rows:
        if len(row) != len(kinds):
            raise ValueError
        for value, kind in zip(row, kinds, strict=True):
            if not isinstance(value, kind):
                raise TypeError


@message("cfg!")
@dataclass(slots=True)
class ConfigAnnouncement:
    """A version is in force at the sender; who is behind may pull it."""

    origin: str
    version: int

    def check(self):
        """Raise if a field is of the wrong kind."""
        _check_rows([[self.origin, self.version]], (str, int))


@message("cfg?")
@dataclass(slots=True)
class ConfigPull:
    """Ask for the configuration if it is newer than `have`."""

    known_version: int


@message("cfg")
@dataclass(slots=True)
class ConfigSnapshot:
    """A whole version of the configuration, as stored, compressed by zlib."""

    version: int
    data: bytes


@message("ask")
@dataclass(slots=True)
class PermitRequest:
    """Ask a pool's home for a permit; `work` holds the rest of `Work`'s fields.

    `remaining` is the seconds to the deadline, so that clocks need not
    agree. `fresh` says that the id was made by the entry node and can't be
    known anywhere.
    """

    subject: str
    region: str
    id: str
    tier: int
    nonce: str
    remaining_s: float
    fresh: bool
    may_cross_region: bool
    work: list

    def check(self):
        """Raise if a field is of the wrong kind."""
        float(self.remaining_s)
        row = [self.subject, self.region, self.id, self.tier, self.nonce, self.work]
        _check_rows([row], (str, str, str, int, str, list))
        if self.tier < 0:
            raise ValueError


@message("look")
@dataclass(slots=True)
class PoolLookup:
    """Ask a pool's home whether it knows an id, without asking for a permit."""

    subject: str
    region: str
    id: str
    fingerprint: str


@message("told")
@dataclass(slots=True)
class PermitResponse:
    """The home's answer: verdict is queued, grant, join, refuse, moved, unknown."""

    verdict: str
    id: str = ""
    nonce: str = ""
    target: str = ""
    version: str = ""
    epoch: str = ""
    kind: str = ""
    why: str = ""
    retry_after: float = 0.0
    finished: bool = False


@message("first")
@dataclass(slots=True)
class PoolFirstByte:
    """The first byte of an id came `seconds` after dispatch."""

    subject: str
    region: str
    id: str
    seconds: float


@message("end")
@dataclass(slots=True)
class PoolFinished:
    """The outcome of a granted id: the values of `Outcome` in their order."""

    subject: str
    region: str
    nonce: str
    outcome: list


@message("gone")
@dataclass(slots=True)
class PoolWithdraw:
    """The caller of a waiting id went away."""

    subject: str
    region: str
    id: str


@message("reg")
@dataclass(slots=True)
class PoolRegister:
    """Running work of an entry node, told to a new home.

    `running` is [[id, tier, nonce, the rest of the work, target]].
    """

    subject: str
    region: str
    running: list


@message("pause")
@dataclass(slots=True)
class PoolPause:
    """Another region's pool of the subject lost work of `tier` for lack of room."""

    subject: str
    region: str
    tier: int


@message("clm?")
@dataclass(slots=True)
class ClaimRequest:
    """Ask a shard's owner to claim an idempotency key."""

    shard: int
    key: str
    body: str
    nonce: str
    made_at: float | None = None


@message("clm")
@dataclass(slots=True)
class ClaimResponse:
    """The owner's verdict on a claim."""

    verdict: str
    outcome: dict | None = None


@message("clm+")
@dataclass(slots=True)
class ClaimSettle:
    """The outcome of a claim's work."""

    shard: int
    key: str
    nonce: str
    outcome: dict


@message("clm-")
@dataclass(slots=True)
class ClaimRelease:
    """A claim whose work was never dispatched."""

    shard: int
    key: str
    nonce: str


@message("evi")
@dataclass(slots=True)
class EvidenceUpdate:
    """Rows of evidence: [move, version, route, source, seen, failed, slow]."""

    rows: list

    def check(self):
        """Raise if a field is of the wrong kind."""
        _check_rows(self.rows, (str, str, str, str, int, int, int))


@message("brk")
@dataclass(slots=True)
class RollbackNotice:
    """A rollout must be rolled back.

    `clear_count` is how often operators had cleared the rollout's trigger; a
    notice from before the last clearing is ignored.
    """

    rollout: str
    clear_count: int
    cause: str


@message("stk")
@dataclass(slots=True)
class PoisonNotice:
    """Fingerprints of poison requests: bodies that crashed several targets."""

    fingerprints: list


@message("evt?")
@dataclass(slots=True)
class EventsRequest:
    """Ask for a node's recent events, filtered."""

    request: str = ""
    move: str = ""
    since: float = 0.0
    limit: int = 1000


@message("evt")
@dataclass(slots=True)
class EventsResponse:
    """A node's events as dicts in the order they happened."""

    events: list = field(default_factory=list)


@message("sta?")
@dataclass(slots=True)
class StatusRequest:
    """Ask a node for its status."""

    detail: bool = True


@message("sta")
@dataclass(slots=True)
class StatusResponse:
    """A node's status."""

    status: dict = field(default_factory=dict)
