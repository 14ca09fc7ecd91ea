"""Which version of a service a request goes to during a rollout."""

__all__ = ["preferred_versions"]

# A version with a share may run this many requests, however few run in all.
MIN_SHARE_IN_FLIGHT = 3.0


def preferred_versions(fleet, old_version, share, draw, regions=()):
    """Return the versions that a request may go to, preferred first.

    Without an `old_version` targets of every version serve. `share` is {new version:
    fraction of new requests}, `draw` the request's number in [0, 1), `regions` where
    it may go. The shares hold in any region: a request whose version has no target in
    its regions waits, so that no more than the share goes to a new version.
    """
    if old_version is None:
        return sorted(fleet.versions(regions))
    drawn = _drawn_version(old_version, share, draw)
    if drawn == old_version:
        return [drawn]
    if _is_over_share(fleet, drawn, share):
        return [old_version]
    return [drawn, old_version]


def _drawn_version(old_version, share, draw):
    """Return the version that the shares of [0, 1) assign to `draw`."""
    edge = 0.0
    for version, fraction in sorted(share.items()):
        edge += fraction
        if draw < edge:
            return version
    return old_version


def _is_over_share(fleet, version, share):
    # Bound requests in flight as well: a slow version holds each request longer
    # and would occupy more than its share of slots.
    fraction = share.get(version, 0.0)
    if fraction >= 1.0:
        return False
    total = fleet.in_flight() + 1
    bound = max(MIN_SHARE_IN_FLIGHT, fraction * total * 2.0)
    return fleet.in_flight(version) + 1 > bound
