"""All messages between nodes. Times are seconds.

A message is encoded as its tag and its field values by position: the order and
number of the fields are part of the protocol, the Python names are not.
"""

from dataclasses import dataclass, field

from lovagepier.frames import message, since

__all__ = [
    "ClaimRelease",
    "ClaimRequest",
    "ClaimResponse",
    "ClaimSettle",
    "ConfigAnnouncement",
    "ConfigPull",
    "ConfigSnapshot",
    "EventsRequest",
    "EventsResponse",
    "EvidenceUpdate",
    "PermitRequest",
    "PermitResponse",
    "PoisonNotice",
    "PoolFinished",
    "PoolFirstByte",
    "PoolLookup",
    "PoolPause",
    "PoolRegister",
    "PoolWithdraw",
    "Probe",
    "ProbeAck",
    "RollbackNotice",
    "StatusRequest",
    "StatusResponse",
]


@message("ping")
@dataclass(slots=True)
class Probe:
    """A membership probe; the receiver relays it if it is not the `target`.

    An empty target means the receiver. `config_version` is the version in force
    at the sender; `updates` are [name, incarnation, status, facts] rows.
    """

    origin: str
    target: str
    sequence: int
    config_version: int
    updates: list

    def check(self):
        """Raise TypeError or ValueError if a field has the wrong type."""
        _check_rows(self.updates, (str, int, int, dict))
        int(self.config_version)


@message("pong")
@dataclass(slots=True)
class ProbeAck:
    """The answer to a probe, with the answering node's updates."""

    origin: str
    sequence: int
    config_version: int
    updates: list

    def check(self):
        """Raise TypeError or ValueError if a field has the wrong type."""
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
    """A configuration version is in force at `origin` and may be pulled there."""

    origin: str
    version: int

    def check(self):
        """Raise TypeError or ValueError if a field has the wrong type."""
        _check_rows([[self.origin, self.version]], (str, int))


@message("cfg?")
@dataclass(slots=True)
class ConfigPull:
    """Request the configuration if it is newer than `known_version`.

    There is no answer otherwise.
    """

    known_version: int


@message("cfg")
@dataclass(slots=True)
class ConfigSnapshot:
    """A complete configuration in its stored form, compressed by zlib."""

    version: int
    data: bytes


@message("ask")
@dataclass(slots=True)
class PermitRequest:
    """Request a permit from a pool's coordinator.

    `work` holds the other fields of `Work`, see `encode_work`. `remaining_s` is
    the time to the deadline, so the nodes' clocks need not agree. `fresh` means
    that the entry host generated the id itself, so no other node can know it.
    `may_cross_region` means that another region can serve the request, so it is
    refused instead of queued if the expected wait exceeds the deadline.
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
        """Raise TypeError or ValueError if a field has the wrong type."""
        float(self.remaining_s)
        row = [self.subject, self.region, self.id, self.tier, self.nonce, self.work]
        _check_rows([row], (str, str, str, int, str, list))
        if self.tier < 0:
            raise ValueError


@message("look")
@dataclass(slots=True)
class PoolLookup:
    """Ask a pool's coordinator whether an id was dispatched, without a permit.

    The answer is a `PermitResponse` with the verdict join, refuse or unknown.
    """

    subject: str
    region: str
    id: str
    fingerprint: str


@message("told")
@dataclass(slots=True)
class PermitResponse:
    """The coordinator's answer to `PermitRequest` or `PoolLookup`.

    `verdict` is one of queued (another answer follows), grant, join (the id was
    dispatched to `target` before), refuse, moved (`why` names the new
    coordinator) and unknown. `kind` is the `ErrorKind` of a refusal; `epoch`
    identifies the coordinator's actor.
    """

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
    """The first byte of a streamed answer came `seconds` after dispatch."""

    subject: str
    region: str
    id: str
    seconds: float


@message("end")
@dataclass(slots=True)
class PoolFinished:
    """The outcome of a granted request: the values of `Outcome` in their order."""

    subject: str
    region: str
    nonce: str
    outcome: list


@message("gone")
@dataclass(slots=True)
class PoolWithdraw:
    """The entry host no longer waits for the answer to a `PermitRequest`."""

    subject: str
    region: str
    id: str


@message("reg")
@dataclass(slots=True)
class PoolRegister:
    """Requests that an entry host runs, sent to the pool's new coordinator.

    `running` rows are [id, tier, nonce, values of `encode_work`, target].
    """

    subject: str
    region: str
    running: list


@message("pause")
@dataclass(slots=True)
class PoolPause:
    """Another region's pool of the same subject shed a request of this tier."""

    subject: str
    region: str
    tier: int


@message("clm?")
@dataclass(slots=True)
class ClaimRequest:
    """Request a claim on an idempotency key from the owner of its shard.

    `body_hash` identifies the request; `key_created_at` is the key's creation time in
    Unix seconds, or None if the key does not tell it.
    """

    shard: int
    key: str
    body_hash: str
    nonce: str
    key_created_at: float | None = None


@message("clm")
@dataclass(slots=True)
class ClaimResponse:
    """The shard owner's answer to a claim message; `verdict` is a `Verdict`.

    `outcome` is the stored outcome of a claim that is done.
    """

    verdict: str
    outcome: dict | None = None


@message("clm+")
@dataclass(slots=True)
class ClaimSettle:
    """The outcome of the request that a claim was granted for."""

    shard: int
    key: str
    nonce: str
    outcome: dict


@message("clm-")
@dataclass(slots=True)
class ClaimRelease:
    """Releases a claim whose request was never dispatched."""

    shard: int
    key: str
    nonce: str


@message("evi")
@dataclass(slots=True)
class EvidenceUpdate:
    """Outcome counts of open rollouts.

    Rows are [rollout id "#" clear count, version, route, source, seen, failed,
    slow], those of `loads` have the numbers of `LoadCounts` after the source. Builds
    without them count outcomes as slow at any load.
    """

    rows: list
    loads: list = since(6, default_factory=list)

    def check(self):
        """Raise TypeError or ValueError if a field has the wrong type."""
        _check_rows(self.rows, (str, str, str, str, int, int, int))
        _check_rows(self.loads, (str, str, str, str, int, int, int, int, int, int))


@message("brk")
@dataclass(slots=True)
class RollbackNotice:
    """A rollout must be rolled back.

    `clear_count` is how often operators had cleared the rollout's trigger; a
    receiver with another count ignores the notice.
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
    """Request a node's recent events; see `Timeline.find` for the filters."""

    request: str = ""
    move: str = ""
    since: float = 0.0
    limit: int = 1000


@message("evt")
@dataclass(slots=True)
class EventsResponse:
    """A node's events as dicts, oldest first."""

    events: list = field(default_factory=list)


@message("sta?")
@dataclass(slots=True)
class StatusRequest:
    """Request a node's status; `detail` is not read."""

    detail: bool = True


@message("sta")
@dataclass(slots=True)
class StatusResponse:
    """A node's status as `Node.status` returns it."""

    status: dict = field(default_factory=dict)
