"""The entry host's own check of where a call may go."""

from lovagepier.decisions.placement.residence import (
    allowed_regions,
    may_go,
    region_finder,
)
from lovagepier.logs import component_logger

__all__ = ["ResidenceCheck"]

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
        has them no more.
        """
        catalog = self._view.catalog
        if not catalog.common_regions:
            return ()
        route = catalog.find_route(call.host, call.path) or call.route
        account = catalog.account_for_key(call.key) or call.account
        return allowed_regions(route, account)

    def forbids(self, call, target):
        """Return whether a call must not be sent to a target."""
        return not may_go(self.regions(call), self._region_of(target.zone))

    def on_forbidden(self, call, target, excluded):
        """Exclude the targets of a service that a call was wrongly granted one of.

        All of them are excluded at once: a coordinator of format 6 or older knows no
        regions and would grant the next forbidden one.
        """
        regions = self.regions(call)
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
            if other.service == target.service and not may_go(
                regions, self._region_of(other.zone)
            ):
                excluded.add(other.id)
