"""Which targets a host can't reach itself, and which hosts can connect it to them."""

from lovagepier.decisions.placement.rendezvous import rank
from lovagepier.decisions.placement.residence import may_go

__all__ = ["Peer", "TargetPaths"]

# A broken path is tried again after this time, which grows with each failure.
MIN_RETRY_S = 0.3
RETRY_GROWTH = 1.5
MAX_RETRY_S = 1.5
# A host that could not connect this one to a target is asked last for this long.
PEER_PAUSE_S = 1.0
# A host without paths to this fraction of the targets reports that it is cut off.
CUT_OFF_FRACTION = 0.5


class Peer:
    """A live entry host that may open tunnels; `is_cut_off` is what it last said.

    `region` is empty if it is unknown.
    """

    __slots__ = ("is_cut_off", "name", "region", "zone")

    def __init__(self, name, zone, is_cut_off=False, region=""):
        self.name = name
        self.zone = zone
        self.region = region
        self.is_cut_off = is_cut_off


class _BrokenPath:
    __slots__ = ("retry_at", "retry_s")

    def __init__(self, now):
        self.retry_s = MIN_RETRY_S
        self.retry_at = now + self.retry_s


class TargetPaths:
    """This host's broken paths, by incarnation of the target.

    A path is broken if another host reaches the target and this one doesn't. What
    no host reaches has no broken path: that is the target's own fault. `name` and
    `zone` are this host's, `zone_cost(zone, zone)` returns the cost of crossing.
    """

    __slots__ = ("_broken", "_name", "_paused", "_zone", "_zone_cost")

    def __init__(self, name, zone, zone_cost):
        self._name = name
        self._zone = zone
        self._zone_cost = zone_cost
        self._broken = {}
        self._paused = {}

    def is_broken(self, incarnation):
        """Return whether only other hosts reach a target."""
        return incarnation in self._broken

    def has_broken(self):
        """Return whether any path is broken."""
        return bool(self._broken)

    def on_broken(self, incarnation, now):
        """Record that another host reached what this one could not.

        Return whether that was unknown.
        """
        if incarnation in self._broken:
            return False
        self._broken[incarnation] = _BrokenPath(now)
        return True

    def on_retry_failed(self, incarnation, now):
        """Record that a retry of a broken path failed."""
        path = self._broken.get(incarnation)
        if path is not None:
            path.retry_s = min(path.retry_s * RETRY_GROWTH, MAX_RETRY_S)
            path.retry_at = now + path.retry_s

    def on_reached(self, incarnation):
        """Record that this host reached a target; return whether its path was broken.

        The other broken paths are due to be tried again, too.
        """
        if self._broken.pop(incarnation, None) is None:
            return False
        for path in self._broken.values():
            path.retry_at = float("-inf")
            path.retry_s = MIN_RETRY_S
        return True

    def due(self, now):
        """Return the incarnations whose broken paths should be tried again."""
        return [key for key, path in self._broken.items() if path.retry_at <= now]

    def keep(self, incarnations):
        """Drop the paths to all targets but these."""
        for key in [key for key in self._broken if key not in incarnations]:
            del self._broken[key]

    def is_cut_off(self, target_count):
        """Return whether most of the targets can't be reached."""
        return len(self._broken) > CUT_OFF_FRACTION * target_count

    # Other hosts

    def on_peer_failed(self, name, incarnation, now):
        """Record that a host could not connect this one to a target."""
        self._paused[name, incarnation] = now + PEER_PAUSE_S

    def rank_peers(self, peers, target_zone, incarnation, now, regions=()):
        """Return the names of `peers` in the order in which to ask them.

        A request's bytes pass through the host that is asked, so only those where a
        request with `regions` may go are returned. The ones nearest to both ends come
        first, by rendezvous hashing among equals, so that hosts of a zone spread over
        the hosts of another. Hosts that are cut off themselves or have just failed are
        the last.
        """
        if regions:
            peers = [peer for peer in peers if may_go(regions, peer.region)]
        self._paused = {key: at for key, at in self._paused.items() if at > now}
        order = {
            name: place
            for place, name in enumerate(rank(self._name, [p.name for p in peers]))
        }

        def key(peer):
            return (
                (peer.name, incarnation) in self._paused,
                peer.is_cut_off,
                self._zone_cost(self._zone, peer.zone)
                + self._zone_cost(peer.zone, target_zone),
                order[peer.name],
            )

        return [peer.name for peer in sorted(peers, key=key)]
