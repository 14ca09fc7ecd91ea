"""The requests of simulated rollouts: services, faults, disturbances, callers."""

import math
from dataclasses import dataclass

from lovagepier.decisions.placement.work import Outcome

__all__ = ["DISTURBANCES", "FAULTS", "SMALL_SERVICE", "Service", "Traffic"]

ROUTES = ("report", "note", "lookup", "letter")
FAULTS = (
    "fails-at-once",
    "fails-late",
    "fails-under-load",
    "fails-on-one-route",
    "slow-at-once",
    "slow-late",
    "slow-on-one-route",
)
# What slows requests without being a fault of the new version.
DISTURBANCES = (
    "unlike-targets",
    "busier-new-targets",
    "slow-together",
    "slow-host",
    "slow-old-target",
    "slow-new-target",
    "fewer-new-targets",
)
# (time per token as a multiple of the usual one, share of the version's requests).
ALIKE_TARGETS = ((1.0, 0.25),) * 4
UNLIKE_OLD_TARGETS = ((0.5, 0.96), (1.0, 0.02), (1.0, 0.01), (2.0, 0.01))
UNLIKE_NEW_TARGETS = ((0.8, 0.5), (0.8, 0.5))
# Standard deviation of the logarithm of a target's times. With the smaller one unlike
# targets don't overlap.
PACE_DEVIATION = 0.25
UNLIKE_PACE_DEVIATION = 0.1
# Each running request slows the others of its target; all of a version's traffic does
# so by this fraction.
LOAD_SLOWDOWN = 0.4
# With fewer targets the new version has as many as this. All traffic takes so much of
# the capacity of the old version's targets, and requests queue for the rest of it.
FEWER_TARGETS = 2
BUSY_FRACTION = 0.45


@dataclass(slots=True, frozen=True)
class Service:
    """What is moved to a new version, and how its callers behave.

    `rate` is in requests a second, `length` the planned duration in seconds. The fault
    of a bad version acts on `faulty_share` of its requests. `leaving_share` of the
    callers leave after `patience_s`. `hanging_share` of the requests to either version
    get no response before `timeout_s`. A token takes `token_s` at the median.
    """

    rate: float = 20.0
    length: float = 120.0
    faulty_share: float = 1.0
    leaving_share: float = 0.0
    patience_s: float = math.inf
    hanging_share: float = 0.0
    timeout_s: float = math.inf
    token_s: float = 0.01
    routes: tuple = ROUTES
    streams: bool = True


# Requests of 30 ms at the median, on two routes.
SMALL_SERVICE = Service(
    rate=17.0,
    length=18.0,
    token_s=0.0015,
    timeout_s=1.0,
    routes=("note", "lookup"),
    streams=False,
)


class Traffic:
    """Draws the outcomes of requests in one run, with the fault of the new version."""

    def __init__(self, fault, disturbance, rng, service):
        self.fault = fault
        self.disturbance = disturbance
        self.rng = rng
        self.service = service
        length = service.length
        self.severity = rng.uniform(0.3, 1.0)
        self.onset = length * rng.uniform(0.3, 0.9) if "late" in fault else 0.0
        self.route = rng.choice(service.routes)
        self.base_failure_rate = rng.uniform(0.0, 0.03)
        self.is_unlike = disturbance in ("unlike-targets", "busier-new-targets")
        self.deviation = UNLIKE_PACE_DEVIATION if self.is_unlike else PACE_DEVIATION
        self.slowdown = rng.uniform(1.5, 4.0)
        self.slow_from = length * rng.uniform(0.1, 0.9)
        self.slow_until = self.slow_from + rng.uniform(0.3, 10.0)

    def is_faulty(self, route, share, now):
        """Return whether the fault acts on a request to the new version."""
        if not self.fault or now < self.onset:
            return False
        if "route" in self.fault and route != self.route:
            return False
        return "load" not in self.fault or share >= 0.3

    def outcome(self, is_new, route, share, now):
        """Return the outcome of one request.

        It is (time in seconds until it ended, status, tokens, faulty, target).
        """
        tokens = 20 if route in ("note", "lookup") else 120
        target, pace = self._target(is_new, share, now)
        pace *= self.service.token_s * self.rng.lognormvariate(0, self.deviation)
        failed = self.rng.random() < self.base_failure_rate
        faulty = is_new and self.is_faulty(route, share, now)
        faulty = faulty and self._occurs(self.service.faulty_share)
        if faulty and self.fault.startswith("fails"):
            failed = failed or self.rng.random() < self.severity
        if faulty and self.fault.startswith("slow"):
            pace *= 1.0 + 3.0 * self.severity
        seconds, status = self._end(tokens * pace, failed)
        return seconds, status, tokens, faulty, target

    def target_counts(self):
        """Return the numbers of targets of the new version and of the old one."""
        if self.is_unlike:
            return len(UNLIKE_NEW_TARGETS), len(UNLIKE_OLD_TARGETS)
        has_fewer = self.disturbance == "fewer-new-targets"
        new = FEWER_TARGETS if has_fewer else len(ALIKE_TARGETS)
        return new, len(ALIKE_TARGETS)

    def as_outcome(self, target, seconds, tokens, status):
        """Return the `Outcome` of a request that ended after `seconds`."""
        if not self.service.streams:
            return Outcome("x", target, status, None, seconds, 1)
        if status == "cancelled":
            return Outcome("x", target, status)
        return Outcome("x", target, "ok", 0.05, 0.05 + seconds, tokens)

    def _occurs(self, probability):
        # No number is drawn for what is certain, so that seeds keep their meaning.
        return probability >= 1.0 or (
            probability > 0.0 and self.rng.random() < probability
        )

    def _end(self, seconds, failed):
        """Return when and how a request ends that would take `seconds`."""
        service = self.service
        if self._occurs(service.hanging_share):
            seconds = math.inf
        if self._occurs(service.leaving_share) and seconds > service.patience_s:
            return service.patience_s, "cancelled"
        if seconds > service.timeout_s:
            return service.timeout_s, "late"
        return seconds, "failed" if failed else "ok"

    def _target(self, is_new, share, now):
        """Draw a target; return its name and its multiple of the usual pace."""
        targets = ALIKE_TARGETS
        if self.is_unlike:
            targets = UNLIKE_NEW_TARGETS if is_new else UNLIKE_OLD_TARGETS
        has_fewer = self.disturbance == "fewer-new-targets"
        if has_fewer and is_new:
            targets = ALIKE_TARGETS[:FEWER_TARGETS]
        number = self.rng.choices(range(len(targets)), [each[1] for each in targets])[0]
        pace = targets[number][0]
        if self.disturbance == "busier-new-targets":
            pace *= 1.0 + LOAD_SLOWDOWN * (share if is_new else 1.0 - share)
        if has_fewer:
            load = (share if is_new else 1.0 - share) * len(ALIKE_TARGETS)
            pace /= 1.0 - BUSY_FRACTION * load / len(targets)
        if self._is_slowed(is_new, number, now):
            pace *= self.slowdown
        return f"{'new' if is_new else 'old'}-{number}", pace

    def _is_slowed(self, is_new, number, now):
        if self.disturbance == "slow-host":
            return now >= self.slow_from and self.rng.random() < 0.33
        if not self.slow_from <= now < self.slow_until:
            return False
        if self.disturbance == "slow-old-target":
            return not is_new and number == 0
        if self.disturbance == "slow-new-target":
            return is_new and number == 0
        return self.disturbance == "slow-together"
