"""One version of the operators' configuration, indexed for lookups."""

from dataclasses import dataclass

from lovagepier.decisions.placement.rendezvous import hash_fraction
from lovagepier.decisions.placement.residence import common_regions

__all__ = ["ROUTE_TIERS", "Account", "CallerLimits", "Catalog", "Route", "Service"]

# Number of route tiers within one account tier.
ROUTE_TIERS = 4


@dataclass(slots=True, frozen=True)
class Route:
    """Destination and service objectives of calls under one host and path prefix.

    Times are in seconds. `tier` 0 is the highest. `services` lists (name,
    weight) pairs. A response after `latency_objective_s` is late; so is an event
    that follows the one before it by more than `max_event_gap_s`. Callers abandon a
    stream after `patience_s` without an event, 0 if they wait to the end. `retryable`
    calls may run more than once. A broken stream of a `resumable` route may be
    continued on another target. `allowed_regions` are where calls may be served, empty
    for any region; see `decisions.placement.residence`.
    """

    name: str
    host: str
    prefix: str
    retryable: bool
    streams: bool
    resumable: bool
    timeout_s: float
    latency_objective_s: float
    max_event_gap_s: float
    patience_s: float
    tier: int
    services: tuple
    max_attempts: int
    public: bool
    allowed_regions: tuple = ()

    def service_for(self, request_id):
        """Return the service of a request, chosen by weight from a hash of its id.

        Retries of a request go to the same service.
        """
        if len(self.services) == 1:
            return self.services[0][0]
        draw = hash_fraction(request_id) * sum(weight for _, weight in self.services)
        for name, weight in self.services:
            draw -= weight
            if draw < 0:
                return name
        return self.services[-1][0]


@dataclass(slots=True, frozen=True)
class Service:
    """A named group of targets; one event of its streams holds `tokens_per_event`.

    A target is cold for `cold_start_s` after it starts, and takes `cold_per_s` requests
    a second then; 0 in one of them means that there is no such bound.
    A target crashes if its requests hold more than `memory_tokens`, 0 for no bound.
    """

    name: str
    tokens_per_event: int
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    memory_tokens: int = 0


@dataclass(slots=True, frozen=True)
class Account:
    """A client account: its keys, tier and quota.

    `rate` (per second) and `burst` count tokens if `counts_tokens`, requests
    otherwise; a rate of 0 means no quota. `default_cost` is the cost of a call
    without token counts. `allowed_regions` are as in a `Route`; both bind.
    """

    name: str
    keys: tuple
    tier: int | None
    rate: float
    burst: float
    counts_tokens: bool
    default_cost: float
    allowed_regions: tuple = ()

    def cost(self, call):
        """Return what `call` counts against the quota, in tokens or requests."""
        if not self.counts_tokens:
            return 1.0
        return float(sum(call.token_counts)) if call.token_counts else self.default_cost


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on what a caller may send (bytes) and on how long it may take (s)."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class Catalog:
    """Routes by host and longest prefix, services by name, accounts by key.

    `common_regions` are allowed by every route and account, empty without any
    restriction.
    """

    __slots__ = (
        "_account_by_key",
        "_routes_by_host",
        "accounts",
        "common_regions",
        "limits",
        "once_routes",
        "routes",
        "service_names",
        "services",
        "version",
    )

    def __init__(self, version, routes, services, accounts, limits):
        self.version = version
        self.routes = routes
        self.services = services
        self.service_names = frozenset(services).union(
            name for route in routes for name, _ in route.services
        )
        self.limits = limits
        self.once_routes = frozenset(r.name for r in routes if not r.retryable)
        self.accounts = {account.name: account for account in accounts}
        self._account_by_key = {key: each for each in accounts for key in each.keys}
        self.common_regions = common_regions(
            each.allowed_regions for each in (*routes, *accounts)
        )
        self._routes_by_host = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route

    @property
    def requires_key(self):
        """Whether callers need an account's key on routes that aren't public."""
        return bool(self.accounts)

    def account_for_key(self, key):
        """Return the `Account` that holds `key`, or None."""
        return self._account_by_key.get(key)

    def find_route(self, host, path):
        """Return the `Route` with the longest prefix of `path`, or None.

        Only prefixes that end with a slash can match.
        """
        prefixes = self._routes_by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while True:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
