"""Where a request may be served: the regions that its route and its account allow.

Load pattern: while the targets of an allowed region are full, requests that may go
nowhere else arrive faster than they can start, beside others that may go anywhere.

A request's `regions` are a tuple of names, empty for any region.
"""

__all__ = [
    "NOWHERE",
    "allowed_regions",
    "common_regions",
    "may_go",
    "nameable_hosts",
    "read_regions",
    "region_finder",
    "why_bound",
    "why_full",
    "why_nowhere",
]

# No region has the empty name, so this allows none.
NOWHERE = ("",)
# A list is read up to this many names, and names up to this many characters: what is
# left out is not allowed.
MAX_REGIONS = 64
MAX_NAME_CHARS = 200


def read_regions(value):
    """Return the regions in an `allowed_regions` value of any writer.

    An empty list allows any. What is no list of names allows no more than the names
    that it has, and must not lift the restriction.
    """
    if not isinstance(value, (list, tuple)):
        return NOWHERE
    if not value:
        return ()
    names = [name for name in value[:MAX_REGIONS] if _is_name(name)]
    return tuple(dict.fromkeys(names)) or NOWHERE


def _is_name(value):
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARS
        and value.isprintable()
    )


def _both(regions, others):
    """Return the regions that two restrictions allow together."""
    if not regions or not others:
        return regions or others
    return tuple(name for name in regions if name in others) or NOWHERE


def allowed_regions(route, account):
    """Return the regions for requests of a `Route` and an `Account`, None for none."""
    return _both(route.allowed_regions, account.allowed_regions if account else ())


def may_go(regions, region):
    """Return whether a request with `regions` may go to a region, "" if unknown."""
    return not regions or bool(region and region in regions)


def region_finder(cfg):
    """Return a function of a zone for its region by the settings, "" if unknown."""
    # The settings may be reloaded: `cfg.zones` is read at each call.
    return lambda zone: cfg.zones.get(zone.lower(), "")


def why_nowhere(regions):
    """Return why a request is refused whose regions have no target."""
    return f"residence: no target in the allowed regions {_listed(regions)}"


def why_full(regions):
    """Return why a request is refused for which there was room elsewhere only."""
    return f"residence: no room in the allowed regions {_listed(regions)}"


def why_bound(regions):
    """Return how a residence bound a request that was refused for another reason."""
    return f"residence: only the regions {_listed(regions)} are allowed"


def _listed(regions):
    return ", ".join(filter(None, regions)) or "(none)"


def common_regions(restrictions):
    """Return the regions that all of several restrictions allow, () without any."""
    common = ()
    for regions in restrictions:
        common = _both(common, regions)
    return common


def nameable_hosts(rows, region, region_of, common, min_hosts):
    """Return the rows of hosts that a directory may name to a caller in `region`.

    `rows` are those of a `Roster`, `common` is what all restrictions of the
    configuration allow, () if there are none. The directory does not know the route
    that the caller will use, so with restrictions it names other regions' hosts only
    if every restriction allows them and the caller's region has less than `min_hosts`.
    If there is no such host, all are named: requests without a residence can be served.
    """
    own = [row for row in rows if region and region_of(row[2]) == region]
    if len(own) >= min_hosts:
        return own
    if not common:
        return rows
    allowed = [row for row in rows if row in own or may_go(common, region_of(row[2]))]
    return allowed or rows
