"""Messages between entry hosts and the coordinator. Times are in seconds.

A message goes out as its tag and its values in the order of its fields. New fields come
last, with the format `since` which they exist; see `frames`.
"""

from dataclasses import dataclass, field, replace

from lovagepier.entry._cluster.older_formats import host_rows, rollout_rows
from lovagepier.frames import field_count, from_values, message, since

__all__ = [
    "DispatchRequest",
    "DispatchResult",
    "FirstEvent",
    "Granted",
    "Heartbeat",
    "LimitStated",
    "Refused",
    "Roster",
    "RunningReport",
    "SnapshotRequest",
    "StoreDelta",
    "StoreSnapshot",
    "TargetDown",
    "TargetLeaving",
    "TargetPaused",
    "Withdraw",
]


@message("e.beat")
@dataclass(slots=True)
class Heartbeat:
    """An entry host is alive; the first heartbeat on a link also names it.

    `is_follower` tells whether the sender uses the receiver as its
    coordinator now. `version` and `as_of` are the configuration version and
    the store revision that the sender has, `store_age` is the time since the
    store last answered it. `is_cut_off` tells that it reaches few of the targets.
    """

    name: str
    is_follower: bool
    zone: str
    caller_address: str
    draining: bool
    version: int
    as_of: int
    store_age: float
    is_cut_off: bool = since(2, False)


@message("e.roster", reshape={"hosts": host_rows, "rollouts": rollout_rows})
@dataclass(slots=True)
class Roster:
    """The coordinator's answer to a heartbeat, with the state that its followers need.

    `hosts` rows are [name, callers' address, zone, draining, is_cut_off, format,
    build]; None if they are the same as in the last roster on this link. `store_age` is
    the time since the store last answered the coordinator. `poisoned` are the
    fingerprints of requests that no host may run, `suspects` the
    `PoisonDetector.suspect_rows`, None if they did not change. `rollbacks` rows are
    [service, order revision, cause] of rollouts that were rolled back. `quota_levels`
    maps accounts whose quotas are nearly spent to the fraction of the burst that is
    left, None if it is unknown. `rollouts` rows are [service, order revision,
    dispatches, dispatches to the new version, outcomes of the new version, failures of
    the new version, comparisons, callers that left] of open rollouts; the comparisons
    are the `SlownessDetector.thresholds` and the `RollbackTrigger.state`, the last is
    the state of `VersionComparison.left`. `boot` identifies the sender's incarnation,
    empty if it is not stated. `retry_levels` maps services to the tokens left in their
    `RetryBudget`s. `rate_limits` and `rejection_limits` are the rows of the
    coordinator's `StatedLimits` and `leaving` the `StoreView.leaving`, each None if it
    did not change.
    """

    coordinator: str
    hosts: list | None
    version: int
    as_of: int
    store_age: float
    poisoned: list
    rollbacks: list
    quota_levels: dict | None
    rollouts: list
    boot: str = ""
    suspects: list | None = None
    retry_levels: dict = field(default_factory=dict)
    rate_limits: list | None = None
    leaving: list | None = since(2, None)
    rejection_limits: list | None = since(3, None)


@message("e.ask")
@dataclass(slots=True)
class DispatchRequest:
    """Asks for permission to dispatch one request.

    `remaining_s` and `soft_deadline_s` are the seconds until the deadline and
    until the response counts as late. `prefix_blocks` are [id, tokens] rows.
    `attempt` counts the dispatches of this request that reached a target.
    `cost` is what the request counts against the account's quota, 0 if it was
    counted before. `patience_s` are the seconds until the caller abandons a request
    without a first event, 0 if it waits until the deadline. `regions` are the names of
    those in which its target must be, empty for any.
    """

    id: str
    service: str
    account: str
    route: str
    tier: int
    remaining_s: float
    soft_deadline_s: float
    prefill_tokens: int
    decode_tokens: int
    prefix_blocks: list
    fingerprint: str
    zone: str
    attempt: int
    exclude: list
    cost: float
    patience_s: float = 0.0
    regions: list = since(7, default_factory=list)


@message("e.grant")
@dataclass(slots=True)
class Granted:
    """Permission to dispatch to one incarnation of a target.

    `paced` tells whether the coordinator counted it as one for a cold target, None if
    the target has no such bound there.
    """

    id: str
    target: str
    incarnation: str
    version: str
    why: str
    paced: bool | None = since(7, None)


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
    """The first event of the response came `seconds` after dispatch."""

    id: str
    seconds: float


@message("e.done")
@dataclass(slots=True)
class DispatchResult:
    """The outcome of a granted request; see `decisions.work.Outcome`.

    `first` and `total` are the seconds from dispatch to the first event and to the end
    of the response, None if that point was not reached. A cancelled dispatch has the
    time until then as its `total`, unless the response had begun.
    """

    id: str
    target: str
    status: str
    first: float | None
    total: float | None
    tokens: int


@message("e.down")
@dataclass(slots=True)
class TargetDown:
    """A target of `service` aborted a response and refuses connections since."""

    service: str
    target: str
    incarnation: str


@message("e.leaving", since=2)
@dataclass(slots=True)
class TargetLeaving:
    """An incarnation of a target said in the response to `request` that it leaves."""

    incarnation: str
    request: str


@message("e.pause", since=2)
@dataclass(slots=True)
class TargetPaused:
    """A target requested that `host` send it nothing for a number of seconds.

    It said so in the response to `request`.
    """

    host: str
    target: str
    incarnation: str
    seconds: float
    request: str


@message("e.limit")
@dataclass(slots=True)
class LimitStated:
    """A target's response to request `id` stated a limit, or none (`per_second` None).

    `kind` is that of the `StatedLimits`. The number is for all hosts together.
    """

    id: str
    target: str
    incarnation: str
    per_second: float | None
    kind: str = since(3, "rate_limit", essential=True)


@message("e.withdraw")
@dataclass(slots=True)
class Withdraw:
    """The request no longer needs a grant.

    Its caller disconnected, its deadline passed, or the slow target that it was sent
    to before has responded or failed.
    """

    id: str


def _running_rows(rows, number):
    count = field_count(DispatchRequest, number)
    return [[values[:count], target] for values, target in rows]


@message("e.register", reshape={"running": _running_rows})
@dataclass(slots=True)
class RunningReport:
    """What an entry host runs, for a coordinator that may lack this state.

    `running` rows are [field values of the `DispatchRequest`, target];
    `poisoned` are fingerprints; `rollbacks` rows are as in `Roster`. `spent` maps
    accounts to what the sender's own coordinator, which has just started, admitted.
    `suspects` are the sender's `PoisonDetector.suspect_rows`, `rate_limits` and
    `rejection_limits` the rows of its `StatedLimits`, `leaving` its
    `StoreView.leaving`. `pauses` are the `Pauses.rows` of the sender.
    """

    running: list
    poisoned: list
    rollbacks: list
    spent: dict = field(default_factory=dict)
    suspects: list = field(default_factory=list)
    rate_limits: list = field(default_factory=list)
    leaving: list = since(2, default_factory=list)
    pauses: list = since(2, default_factory=list)
    rejection_limits: list = since(3, default_factory=list)

    def with_requests(self):
        """Return the report with `DispatchRequest`s in `running`, not their values."""
        rows = [
            (from_values(DispatchRequest, values), target)
            for values, target in self.running
        ]
        return replace(self, running=rows)


@message("e.changed")
@dataclass(slots=True)
class StoreDelta:
    """The changes of the store after revision `after`, up to `as_of`.

    `packed` holds rows of [key, revision, create revision, value, base]. The
    value is None if the key was deleted. If `base` is not 0, it is a delta
    (see `_deltas`) against the value at revision `base`.
    """

    after: int
    as_of: int
    packed: bytes


@message("e.mirror?")
@dataclass(slots=True)
class SnapshotRequest:
    """Asks for the contents of the store as the receiver has them.

    `after` is the revision that the sender has.
    """

    after: int


@message("e.mirror")
@dataclass(slots=True)
class StoreSnapshot:
    """The contents of the store as of a revision.

    `packed` holds rows of [key, value, revision, create revision].
    """

    as_of: int
    packed: bytes
