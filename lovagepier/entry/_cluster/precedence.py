"""Whether hosts of this build have precedence among those of the same capacity.

The newest build decides, as it can read all messages of the others. Its hosts register
a capacity score with one more point, and all builds rank by that score.

A coordinator of format 4 or less takes a host that drained for draining for good, if it
was that host's follower. It does not follow the restarted host while others do; then
the point is withdrawn.
"""

from lovagepier.frames import FORMAT
from lovagepier.logs import component_logger

__all__ = ["Precedence"]

# The last format whose hosts register their capacity alone, and whose coordinators
# may take a restarted host for draining.
LAST_FORMAT_WITHOUT_POINTS = 4
# Hosts open a link to the most senior one within a second of their registration. One
# that did not by then is dialed, and after the second time it does not follow.
DIAL_AFTER_S = 0.6
WITHDRAW_AFTER_S = 1.5

_log = component_logger("members")


class Precedence:
    """The points of this host, and the hosts that don't link to it as coordinator.

    `outgoing` and `followers` hold the links of host `host_name`. `points` are added to
    its capacity score.
    """

    def __init__(self, host_name, view, outgoing, followers):
        self._host = host_name
        self._view = view
        self._outgoing = outgoing
        self._followers = followers
        self._unlinked_since = {}
        self._to_dial = []
        self.points = FORMAT - LAST_FORMAT_WITHOUT_POINTS

    def hosts_to_dial(self):
        """Return the hosts of older builds that don't link to this one."""
        return self._to_dial

    def must_withdraw(self, is_coordinator, now):
        """Return True once `points` became 0 and the host has to register again."""
        if not is_coordinator or not self.points:
            self._unlinked_since = {}
            self._to_dial = []
            return False
        known = self._unlinked_since
        self._unlinked_since = {
            (host.name, host.boot): known.get((host.name, host.boot), now)
            for host in self._view.members().values()
            if host.format <= LAST_FORMAT_WITHOUT_POINTS
            and host.name != self._host
            and host.name not in self._followers.links
        }
        self._to_dial = [
            name
            for (name, _), since in self._unlinked_since.items()
            if now - since >= DIAL_AFTER_S
        ]
        for (name, boot), since in self._unlinked_since.items():
            if now - since >= WITHDRAW_AFTER_S and self._is_up(name, boot):
                self.points = 0
                _log.warning(
                    "an older build does not follow this host; registering without "
                    "precedence",
                    host=name,
                )
                return True
        return False

    def _is_up(self, name, boot):
        known = self._outgoing.is_known(name)
        return known and self._outgoing.links[name].boot == boot
