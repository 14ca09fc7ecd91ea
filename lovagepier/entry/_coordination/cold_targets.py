"""The targets that are cold, by their registrations and by what happened to them."""

from lovagepier import platform
from lovagepier.decisions.limits.cold_limits import ColdBound, ColdLimit, ColdShare
from lovagepier.logs import component_logger

__all__ = ["ColdTargets"]

# The targets of a service that register in this time after the first one, as this host
# sees it, do not start during traffic: the fleet or this host starts.
SETTLING_S = 5.0
# Targets are remembered this long: one whose entry expired in an outage of the store
# registers again with the same incarnation and has not started.
GONE_RETENTION_S = 120.0

_log = component_logger("targets")


class _Known:
    """What is known of a target: its limit and what was seen of it last."""

    __slots__ = (
        "evacuated",
        "gone_at",
        "incarnation",
        "limit",
        "revision",
        "was_cold",
    )

    def __init__(self, target, limit):
        self.limit = limit
        self.incarnation = target.incarnation
        self.evacuated = False
        self.gone_at = None
        self.revision = None
        self.was_cold = False


class ColdTargets:
    """Decides for each target whether it is cold.

    Each host does so by its own view of the store. What only the coordinator learns, a
    return after refused connections, it alone goes by. `share` is the `ColdShare`.
    """

    __slots__ = ("_bounds", "_cfg", "_known", "_since", "_view", "share")

    def __init__(self, cfg, view):
        self._cfg = cfg
        self._view = view
        self._known = {}
        self._since = {}
        self._bounds = {}
        self.share = ColdShare()

    def _service(self, name):
        """Return the `Service` whose cold targets have a bound, else None."""
        cfg = self._cfg
        if cfg.targets_cold_overage is None or cfg.targets_cold_slack is None:
            return None
        service = self._view.catalog and self._view.catalog.services.get(name)
        is_bound = service and service.cold_start_s > 0 and service.cold_per_s > 0
        return service if is_bound else None

    def _bound(self, service):
        cfg = self._cfg
        numbers = (
            service.cold_per_s,
            cfg.targets_cold_overage,
            cfg.targets_cold_slack,
        )
        known, bound = self._bounds.get(service.name, (None, None))
        if known != numbers:
            bound = ColdBound(*numbers)
            self._bounds[service.name] = (numbers, bound)
        return bound

    def limit(self, target, evacuated, now):
        """Return the `ColdLimit` of a target of the view, None without a bound."""
        service = self._service(target.service)
        if service is None:
            self._known.pop(target.id, None)
            return None
        since = self._since.setdefault(service.name, now)
        bound = self._bound(service)
        known = self._known.get(target.id)
        if known is None:
            known = _Known(target, ColdLimit(bound, self.share))
            self._known[target.id] = known
            if now - since >= SETTLING_S:
                self._begin(target.id, known, service, "registered in traffic", now)
        known.gone_at = None
        known.limit.use_bound(bound)
        self._note_changes(target, known, service, evacuated, now)
        self._note_warm(target.id, known, now)
        return known.limit

    def _note_changes(self, target, known, service, evacuated, now):
        if known.incarnation != target.incarnation:
            known.incarnation = target.incarnation
            self._begin(target.id, known, service, "restarted", now)
        if known.evacuated and not evacuated:
            self._begin(target.id, known, service, "back from an evacuation", now)
        known.evacuated = evacuated
        item = self._view.items.get(platform.TARGET_PREFIX + target.id)
        if item is not None and item.revision != known.revision:
            known.revision = item.revision
            known.limit.state(target.cold_left_s, now)
            if known.limit.is_cold(now) and not known.was_cold:
                self._log_cold(target.id, known, "says so", now)

    def _begin(self, target, known, service, cause, now):
        known.limit.begin(service.cold_start_s, now)
        self._log_cold(target, known, cause, now)

    def _log_cold(self, target, known, cause, now):
        known.was_cold = True
        seconds = round(known.limit.until - now, 2)
        _log.info("target cold", target=target, cause=cause, seconds=seconds)

    def _note_warm(self, target, known, now):
        if known.was_cold and not known.limit.is_cold(now):
            known.was_cold = False
            _log.info("target warm", target=target)

    def on_return(self, target, service_name, now):
        """Take a target for cold that gets requests again after refused connections."""
        known = self._known.get(target)
        service = self._service(service_name)
        if known is not None and service is not None:
            self._begin(target, known, service, "refused connections", now)

    def drop(self, target, now):
        """Drop a target that is gone, after a time."""
        known = self._known.get(target)
        if known is None:
            return
        known.gone_at = now
        for name, other in list(self._known.items()):
            gone_at = now if other.gone_at is None else other.gone_at
            if now - gone_at >= GONE_RETENTION_S:
                del self._known[name]

    def may_send(self, target, is_paced, age_s, now):
        """Return whether an entry host may use a grant for a target.

        `is_paced` is that of the `Granted`, None from a coordinator of an older build
        or one without a bound.
        """
        known = self._known.get(target.id)
        if known is None or is_paced is None:
            return True
        return known.limit.may_send(is_paced, age_s, now)

    def count(self, now):
        """Return how many targets are cold."""
        return sum(
            known.gone_at is None and known.limit.is_cold(now)
            for known in self._known.values()
        )
