"""One version of the operators' configuration, ready for look-ups."""

from dataclasses import dataclass

from lovagepier.decisions.rendezvous import hash_fraction

__all__ = ["ROUTE_TIERS", "Account", "CallerLimits", "Catalog", "Route", "Service"]

# Ranks of routes within one rank of accounts.
ROUTE_TIERS = 4


@dataclass(slots=True, frozen=True)
class Route:
    """Where calls under a host and path prefix go, and what they are owed.

    Times are seconds; `tier` 0 is the highest; `services` are (name, weight)
    pairs; `gap_s` is the longest pause between events that is on time;
    `repeatable` tells that a call may run more than once, `resumes`
    that a broken stream may go on at another target.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    streams: bool
    resumes: bool
    timeout_s: float
    aim_s: float
    gap_s: float
    tier: int
    services: tuple
    max_attempts: int
    public: bool

    def service_for(self, request_id):
        """Return the service of a request, by weight and the same each time."""
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
    """A named set of targets; `event_tokens` are in one event of a stream."""

    name: str
    event_tokens: int


@dataclass(slots=True, frozen=True)
class Account:
    """A client account: its keys, tier and quota.

    `rate` a second and `burst` count tokens where `by_tokens`, else
    requests; a rate of 0 is no quota. `plain_cost` is what a call without
    sizes counts.
    """

    name: str
    keys: tuple
    tier: int | None
    rate: float
    burst: float
    by_tokens: bool
    plain_cost: float

    def cost(self, call):
        """Return what `call` counts against the quota."""
        if not self.by_tokens:
            return 1.0
        return float(sum(call.sizes)) if call.sizes else self.plain_cost


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """What a caller may send and how long it may take, bytes and seconds."""

    max_head_bytes: int
    max_body_bytes: int
    head_s: float
    idle_s: float


class Catalog:
    """Routes by host and longest prefix, services by name, accounts by key."""

    __slots__ = (
        "_accounts",
        "_prefixes",
        "accounts",
        "limits",
        "routes",
        "services",
        "version",
    )

    def __init__(self, version, routes, services, accounts, limits):
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.accounts = {account.name: account for account in accounts}
        self._accounts = {key: each for each in accounts for key in each.keys}
        self._prefixes = {}
        for route in routes:
            self._prefixes.setdefault(route.host, {})[route.prefix] = route

    @property
    def needs_key(self):
        """Whether callers must name an account on routes that aren't public."""
        return bool(self.accounts)

    def account_of(self, key):
        """Return the `Account` that holds `key`, or None."""
        return self._accounts.get(key)

    def route_of(self, host, path):
        """Return the `Route` with the longest prefix of `path`, or None."""
        prefixes = self._prefixes.get(host)
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
