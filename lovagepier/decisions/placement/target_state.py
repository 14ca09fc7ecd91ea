"""What the coordinator of a pool knows of one target."""

from lovagepier.decisions.learning.estimates import SpeedEstimate
from lovagepier.decisions.limits.limits import FixedLimit, InFlightLimit
from lovagepier.decisions.limits.rate_limits import RateLimit
from lovagepier.decisions.limits.rejections import RejectionLimit

__all__ = ["TargetState"]

# Consecutive failures that eject a target.
MIN_EJECT_FAILURES = 3
# The first ejection lasts this long; each further one twice as long as the last.
BASE_EJECT_S = 2.0
MAX_EJECT_S = 60.0


class TargetState:
    """One target: its running requests, speed, in-flight limit and health.

    `slots` is the concurrency that the target states; without it the limit is
    learnt, starting at `limit`. A `draining` target gets no new requests, nor does one
    whose zone is `evacuated`; one that is `down` accepts no connections, and a
    `probing` one runs a single request at a time, or what its pace allows. `vanished`
    lists (`Run`, time) of requests that were lost there. `prefilling` maps running
    requests before their first byte to the tokens of their prefill. `rate_limit` and
    `rejection_limit` are the `RateLimit` and the `RejectionLimit` that the target
    states, `cold_limit` is its `ColdLimit`, None without such a bound. `memory_tokens`
    bounds the tokens of its running requests, 0 for no bound; `held_tokens` are theirs
    now. `pace` is its `Pace` while it starts or recovers, else None. `key` is the
    target's place in the `Fleet` index, None outside of it. `region` is that of its
    zone, "" if unknown.
    """

    __slots__ = (
        "cold_limit",
        "down",
        "draining",
        "ejected_until",
        "ejections",
        "evacuated",
        "failures",
        "held_tokens",
        "incarnation",
        "key",
        "last_start_at",
        "limit",
        "memory_tokens",
        "name",
        "pace",
        "prefilling",
        "probing",
        "queued_prefill",
        "rate_limit",
        "region",
        "rejection_limit",
        "reported",
        "reported_at",
        "running",
        "speed",
        "vanished",
        "version",
        "zone",
    )

    def __init__(
        self,
        name,
        zone="",
        version="",
        incarnation="",
        limit=8.0,
        slots=None,
        region="",
    ):
        self.name = name
        self.zone = zone
        self.region = region
        self.version = version
        self.incarnation = incarnation
        self.draining = False
        self.down = False
        self.evacuated = False
        self.limit = InFlightLimit(limit) if slots is None else FixedLimit(slots)
        self.speed = SpeedEstimate()
        self.running = {}
        self.prefilling = {}
        self.queued_prefill = 0
        self.memory_tokens = 0
        self.held_tokens = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = float("-inf")
        self.probing = False
        self.reported = 0
        self.reported_at = float("-inf")
        self.last_start_at = float("-inf")
        self.vanished = []
        self.rate_limit = RateLimit()
        self.rejection_limit = RejectionLimit()
        self.cold_limit = None
        self.pace = None
        self.key = None

    @property
    def in_flight(self):
        """Number of requests granted to this target that have no outcome yet."""
        return len(self.running)

    @property
    def incarnation_id(self):
        """The target's name and current incarnation, as one string."""
        return f"{self.name}/{self.incarnation}"

    @property
    def is_out(self):
        """Whether the target is draining, down or evacuated."""
        return self.draining or self.down or self.evacuated

    def takes_work(self, now):
        """Return whether the target is healthy and may get new requests.

        Doesn't check for a free slot; see `has_room`.
        """
        if self.draining or self.down or self.evacuated:
            return False
        if now < self.ejected_until:
            return False
        if self.probing and self.running and self.pace is None:
            return False
        if self.rejection_limit.is_stated and not self.rejection_limit.allows(
            self.in_flight, now
        ):
            return False
        if self.rate_limit.is_stated and not self.rate_limit.allows(now):
            return False
        if self.cold_limit is not None and not self.cold_limit.allows(now):
            return False
        return self.pace is None or self.pace.allows(self.in_flight, now)

    def has_room(self, extra=0):
        """Return whether one more request fits.

        With `extra` set to 1 the limit may be exceeded by its `overbook_slots`, unless
        the target falls over when it must reject requests.
        """
        if self.probing and self.pace is None:
            return not self.running
        if self.rejection_limit.is_stated:
            extra = 0
        return self.limit.has_room(self.in_flight - extra * self.limit.overbook_slots)

    def has_memory(self, work):
        """Return whether the target has memory for `work`.

        An idle target takes any request, also one beyond its whole memory.
        """
        if not self.memory_tokens or not self.running:
            return True
        return self.held_tokens + work.memory_tokens <= self.memory_tokens

    def slots_within(self, seconds):
        """Return how many requests may start in a time in which each slot is freed."""
        return min(self.limit.value, self.rate_limit.starts_within(seconds))

    def wait_seconds(self):
        """Return the expected seconds until a new prefill would start."""
        return self.queued_prefill / self.speed.prefill_rate

    def finish_seconds(self, work, hit_tokens):
        """Return the expected seconds until `work` would be complete."""
        prefill = self.queued_prefill + work.prefill_tokens - hit_tokens
        return self.speed.service_seconds(prefill, work.decode_tokens)

    def start(self, work, hit_tokens):
        """Register `work` as running here."""
        prefill = max(work.prefill_tokens - hit_tokens, 0)
        self.running[work.id] = work
        self.held_tokens += work.memory_tokens
        self.prefilling[work.id] = prefill
        self.queued_prefill += prefill

    def prefilled(self, request_id):
        """End the prefill of a request; return its tokens.

        None for an unknown id or one whose prefill has ended before.
        """
        tokens = self.prefilling.pop(request_id, None)
        if tokens is not None:
            self.queued_prefill -= tokens
        return tokens

    def finish(self, request_id):
        """Remove a running request; return its work, or None if unknown."""
        self.prefilled(request_id)
        work = self.running.pop(request_id, None)
        if work is not None:
            # Estimated lengths are fractions, so sums would drift.
            self.held_tokens -= work.memory_tokens if self.running else self.held_tokens
        return work

    def on_success(self):
        """Close the circuit breaker after a successful request."""
        self.failures = 0
        self.ejections = 0
        self.probing = False

    def on_failure(self, now, may_eject=True):
        """Record a failed request; return whether it ejects the target.

        While probing a single failure ejects. With `may_eject` False too many
        targets are ejected already, and probing ends instead.
        """
        self.failures += 1
        self.limit.on_failure(now)
        if not may_eject:
            self.probing = False
            return False
        if not self.probing and self.failures < MIN_EJECT_FAILURES:
            return False
        pause = min(BASE_EJECT_S * 2**self.ejections, MAX_EJECT_S)
        self.ejections += 1
        self.ejected_until = now + pause
        self.probing = True
        self.failures = 0
        return True
