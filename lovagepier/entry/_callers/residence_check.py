"""The entry host's own check of where a call may go."""

from lovagepier.decisions.placement.residence import (
    allowed_regions,
    may_go,
    nameable_hosts,
    region_finder,
    why_bound,
)
from lovagepier.errors import ErrorKind, error_spec
from lovagepier.logs import component_logger

__all__ = ["ResidenceCheck"]

# Refusals of calls for which no target was found in time.
_NO_TARGET_KINDS = (
    ErrorKind.DEADLINE_INFEASIBLE,
    ErrorKind.DEADLINE_WAITING,
    ErrorKind.NO_TARGET,
    ErrorKind.RESIDENCE,
    ErrorKind.TARGET_REFUSED,
)

_log = component_logger("callers")


class ResidenceCheck:
    """Tells where calls may go, by the configuration in force and the settings.

    The coordinator may be older, or know an older configuration or other zones, so its
    grants are checked here.
    """

    __slots__ = ("_metrics", "_region_of", "_view")

    def __init__(self, cfg, view, metrics):
        self._view = view
        self._metrics = metrics
        self._region_of = region_finder(cfg)

    def regions(self, call):
        """Return the regions that a call may go to, empty for any.

        The route and the account that the call came with bind if the configuration
        no longer has them: the call goes to that route's service.
        """
        catalog = self._view.catalog
        if not catalog.common_regions:
            return ()
        route = catalog.find_route(call.host, call.path)
        if route is None or route.name != call.route.name:
            route = call.route
        account = catalog.account_for_key(call.key) or call.account
        return allowed_regions(route, account)

    def accepts(self, progress, target):
        """Return whether a call may be sent to the target that it was granted.

        If not, all such targets of the service are excluded at once: a coordinator of
        format 6 or older knows no regions and would grant the next one.
        """
        call = progress.call
        regions = self.regions(call)
        if self._may_go(regions, target):
            return True
        self._metrics.count("residence_grants_returned", call.route.tier)
        _log.warning(
            "returned a grant that residence forbids",
            request=call.request_id,
            target=target.id,
            zone=target.zone,
            region=self._region_of(target.zone),
            allowed=regions,
            version=self._view.version,
        )
        for other in self._view.targets.values():
            if other.service == target.service and not self._may_go(regions, other):
                progress.excluded.add(other.id)
        return False

    def _may_go(self, regions, target):
        return not regions or may_go(regions, self._region_of(target.zone))

    def explain(self, call, kind, retry_after, why):
        """Return the seconds of Retry-After and the cause of the refusal of a call.

        The cause names the residence of a call that has one and found no target.
        """
        regions = self.regions(call)
        if not regions or kind not in _NO_TARGET_KINDS:
            return retry_after, why
        if kind != ErrorKind.RESIDENCE:
            why = "; ".join(filter(None, (why, why_bound(regions))))
        if retry_after is None:
            retry_after = error_spec(kind).retry_after
        return retry_after, why

    def nameable_hosts(self, rows, region, min_hosts):
        """Return the rows of the hosts that the directory names, see `residence`."""
        catalog = self._view.catalog
        common = catalog.common_regions if catalog else ()
        named = nameable_hosts(rows, region, self._region_of, common, min_hosts)
        if common:
            left_out = len(rows) - len(named)
            self._metrics.count("residence_hosts_left_out", by=left_out)
        return named
