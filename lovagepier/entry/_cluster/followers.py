"""The entry hosts that linked to this one: their links, heartbeats and rosters."""

import asyncio

from lovagepier import build_name
from lovagepier.entry._cluster.messages import Roster
from lovagepier.frames import FORMAT
from lovagepier.logs import component_logger

__all__ = ["Followers"]

# Evidence of crashes is sent at once, but not more often than this.
MIN_PUSH_INTERVAL_S = 0.05
# Hosts that join or leave are sent at most this often. When 84 hosts joined within half
# a second, a list of all hosts to each of them filled the link between regions.
MIN_LIST_INTERVAL_S = 0.25

_log = component_logger("members")


class Followers:
    """Hosts that use this host's coordinator or keep a standby link to it.

    `links` are the open links by host name. `draining` is set once this host
    is to stop, `is_cut_off` while it reaches few of the targets. `boot` identifies
    this incarnation of the host.
    """

    def __init__(self, cfg, view, coordinator, boot):
        self._cfg = cfg
        self._boot = boot
        self._view = view
        self._coordinator = coordinator
        self._loop = asyncio.get_running_loop()
        self._heartbeats = {}
        self._rows = {}
        self._host_rows = None
        self._sent_hosts = {}
        self._sent = {}
        self._rosters_due = False
        self._list_due = False
        self._pushed_at = float("-inf")
        self._push = None
        self.links = {}
        self.draining = False
        self._is_cut_off = False

    @property
    def own_address(self):
        """The HOST:PORT that callers of this host connect to."""
        host, port = self._cfg.callers_listen
        return f"{host}:{port}"

    @property
    def is_cut_off(self):
        """Whether this host reaches few of the targets."""
        return self._is_cut_off

    @is_cut_off.setter
    def is_cut_off(self, value):
        if value != self._is_cut_off:
            self._is_cut_off = value
            self._host_rows = None
            self._rosters_due = True

    def on_heartbeat(self, link, heartbeat):
        """Record a heartbeat; return whether the number of followers changed."""
        if not link.peer:
            self._register_link(link, heartbeat.name)
        link.in_use = heartbeat.is_follower
        link.store_answered_at = self._loop.time() - heartbeat.store_age
        known = self._heartbeats.get(heartbeat.name)
        self._heartbeats[heartbeat.name] = heartbeat
        self._put_row(link, heartbeat)
        if known is not None and known.is_follower and not heartbeat.is_follower:
            self._coordinator.on_entry_lost(heartbeat.name, self._loop.time())
        return known is None or known.is_follower != heartbeat.is_follower

    def _put_row(self, link, heartbeat):
        row = [
            heartbeat.name,
            heartbeat.caller_address,
            heartbeat.zone,
            heartbeat.draining,
            heartbeat.is_cut_off,
            link.format,
            link.build,
        ]
        known = self._rows.get(heartbeat.name)
        self._rows[heartbeat.name] = row
        if row != known:
            self._host_rows = None
        if known is None:
            self._list_due = True
        elif row[3:5] != known[3:5]:
            self._rosters_due = True

    def _register_link(self, link, name):
        link.peer = name
        old = self.links.get(name)
        self.links[name] = link
        if old is not None and old is not link:
            old.close()

    def on_closed(self, link):
        """Remove an entry host whose link ended."""
        if not link.peer or self.links.get(link.peer) is not link:
            return
        del self.links[link.peer]
        self._sent_hosts.pop(link.peer, None)
        self._sent.pop(link.peer, None)
        self._heartbeats.pop(link.peer, None)
        self._rows.pop(link.peer, None)
        self._host_rows = None
        self._coordinator.on_entry_lost(link.peer, self._loop.time())
        _log.info("the link from an entry host ended", host=link.peer)
        self._list_due = True

    def on_joined(self, name):
        """Send all state again to a host that has begun to use this coordinator.

        What it was sent before it may have dropped, or replaced by another's.
        """
        self._sent.pop(name, None)

    def count(self):
        """Return how many other hosts use this host's coordinator now."""
        return sum(beat.is_follower for beat in self._heartbeats.values())

    def host_rows(self):
        """Return the rows of a `Roster`'s `hosts`, this host first.

        The list is replaced when a row changes.
        """
        if self._host_rows is None:
            cfg = self._cfg
            own = [
                cfg.host_name,
                self.own_address,
                cfg.host_zone,
                self.draining,
                self._is_cut_off,
                FORMAT,
                build_name(),
            ]
            self._host_rows = [own, *self._rows.values()]
        return self._host_rows

    def roster(self, link):
        """Return the `Roster` for a link, with the hosts only if they changed."""
        now = self._loop.time()
        hosts = self.host_rows()
        sent_link, sent_hosts = self._sent_hosts.get(link.peer, (None, None))
        if sent_link is link and sent_hosts is hosts:
            changed_hosts = None
        else:
            changed_hosts = hosts
            self._sent_hosts[link.peer] = (link, hosts)
        detector = self._coordinator.poison_detector
        suspects = self._if_changed(
            link, "suspects", detector.revision, detector.suspect_rows
        )
        rates = self._coordinator.rate_limits.rows
        rejections = self._coordinator.rejection_limits.rows
        leaving = self._view.leaving
        return Roster(
            self._cfg.host_name,
            changed_hosts,
            self._view.version,
            self._view.as_of,
            self._view.store_age(now),
            self._coordinator.poison_detector.poisoned(),
            self._coordinator.rollouts.rollbacks(),
            self._coordinator.quotas.low_levels(now),
            self._coordinator.rollouts.progress_rows(),
            self._boot,
            suspects,
            self._coordinator.retry_levels(),
            self._if_changed(link, "rate_limits", rates, lambda: rates),
            self._if_changed(link, "leaving", leaving, lambda: leaving),
            self._if_changed(link, "rejection_limits", rejections, lambda: rejections),
        )

    def _if_changed(self, link, field, state, make):
        """Return `make()`, or None if the link was last sent that of the same state."""
        sent = self._sent.setdefault(link.peer, {})
        if sent.get(field) == (link, state):
            return None
        sent[field] = (link, state)
        return make()

    def announce_draining(self):
        """Tell all linked hosts at once that this host is draining."""
        self.draining = True
        self._host_rows = None
        self._rosters_due = True
        self.push_rosters()

    def push_rosters(self):
        """Send rosters at once if a host began to drain, soon if one joined or left."""
        now = self._loop.time()
        if self._list_due and now - self._pushed_at >= MIN_LIST_INTERVAL_S:
            self._rosters_due = True
        if not self._rosters_due:
            return
        self._rosters_due = self._list_due = False
        self._pushed_at = now
        for link in self.links.values():
            link.send(self.roster(link))

    def push_rosters_soon(self, at_once=False):
        """Send rosters in the next turn of the loop.

        Unless `at_once`, they are sent `MIN_PUSH_INTERVAL_S` after the last ones.
        """
        self._rosters_due = True
        due_at = self._pushed_at + MIN_PUSH_INTERVAL_S
        if at_once or due_at <= self._loop.time():
            self._loop.call_soon(self.push_rosters)
        elif self._push is None:
            self._push = self._loop.call_at(due_at, self._push_due)

    def _push_due(self):
        self._push = None
        self.push_rosters()
