"""Which hosts may be coordinator, and to which of them this host keeps links."""

import asyncio

from lovagepier.decisions.membership.succession import rank_candidates
from lovagepier.entry._cluster.precedence import Precedence

__all__ = ["Candidates"]

# A host stays linked to this many of the hosts senior to it, the coordinator included.
MIN_SENIOR_LINKS = 2
# An answer of the store to another host this long after this host's last renewal shows
# that the store is up: the next renewal was due by then.
MISSED_RENEWAL_S = 1.5


class Candidates:
    """The candidates for coordinator by registrations, rosters and links.

    `boot` identifies this incarnation of the host; `outgoing` and `followers` hold
    its links. `precedence` is that of its build.
    """

    def __init__(self, cfg, view, outgoing, followers, boot):
        self._cfg = cfg
        self._view = view
        self._outgoing = outgoing
        self._followers = followers
        self._boot = boot
        self._loop = asyncio.get_running_loop()
        self._renewed_at = None
        self._registered_until = 0.0
        self._roster = None
        self._draining = {}
        self.precedence = Precedence(cfg.host_name, view, outgoing, followers)

    @property
    def starts_with_peers(self):
        """Whether this host, after a restart, asks the seeds before the store."""
        seeds = self._cfg.peers_seeds
        is_restart = self._cfg.host_first_start != "true"
        return is_restart and bool(seeds) and self._cfg.peers_listen not in seeds

    def may_read_from_peers(self):
        """Return whether this host may leave reading the store to the seeds.

        After a loss of all hosts, 84 scans and watches at once filled the link
        between regions for more than a second, and no host could join another one.
        """
        return self.starts_with_peers and self._outgoing.has_any_up()

    def names(self, roster):
        """Return the hosts that may be coordinator, most senior first.

        `roster` are the rows of hosts that the coordinator last sent.
        """
        members = self._view.members().values()
        return rank_candidates(
            members,
            self._cfg.host_name,
            stale={host.name for host in members if self._is_stale(host)},
            draining=self._draining_names(roster, members),
            own_last=self._followers.draining or self.has_lapsed(),
        )

    def _draining_names(self, roster, members):
        """Return the hosts that are draining and did not restart.

        They are those that the roster lists as draining, and linked ones that said so
        themselves: a coordinator may not list a host that drains beside it. The roster
        of a former coordinator stays when this host succeeds it.
        """
        if roster is not self._roster:
            self._roster = roster
            boots = {host.name: host.boot for host in members}
            self._draining = {row[0]: boots.get(row[0]) for row in roster if row[3]}
        return {
            host.name
            for host in members
            if self._draining.get(host.name) == host.boot
            or self._states_draining(host.name)
        }

    def _states_draining(self, name):
        link = self._outgoing.links.get(name)
        return link is not None and any(
            row[0] == name and row[3] for row in link.roster
        )

    def _is_stale(self, host):
        """Return whether a host is known to have restarted since it registered."""
        if host.name == self._cfg.host_name:
            return host.boot != self._boot
        link = self._outgoing.links.get(host.name)
        return link is not None and bool(link.boot) and link.boot != host.boot

    def on_registered(self, renewed_at, until):
        """Record a renewal of this host's registration, in loop seconds."""
        self._renewed_at = renewed_at
        self._registered_until = until

    def has_lapsed(self):
        """Return whether only this host's own registration has lapsed.

        The store drops it and the other hosts follow the next one, but a host that
        can't reach the store does not learn so. If the store answers no host, all
        registrations lapse alike and the order stays.
        """
        if self._renewed_at is None or self._loop.time() < self._registered_until:
            return False
        links = [*self._outgoing.links.values(), *self._followers.links.values()]
        due_at = self._renewed_at + MISSED_RENEWAL_S
        return any(link.store_answered_at > due_at for link in links)

    def wanted_links(self, roster):
        """Return {name: address} of the hosts that this one should be linked to.

        These are the candidates senior to this host, up to `MIN_SENIOR_LINKS` that
        are up or twice as many that may be, or the configured seeds while no hosts are
        known. Hosts to which no connection could be opened don't count: if a zone is
        lost with the store, the store goes on listing its hosts. A draining host
        considers all other candidates, and a coordinator the hosts of older builds
        that don't link to it.
        """
        members = self._view.members()
        wanted = {}
        up_count = 0
        possible_count = 0
        for name in self.names(roster):
            if name == self._cfg.host_name:
                if not self._followers.draining:
                    break
                continue
            host = members.get(name)
            if host is None:
                continue
            wanted[name] = host.link_address
            up_count += self._outgoing.is_up(name)
            possible_count += not self._outgoing.is_unreachable(name)
            if up_count >= MIN_SENIOR_LINKS or possible_count >= 2 * MIN_SENIOR_LINKS:
                break
        for name in self.precedence.hosts_to_dial():
            if name in members:
                wanted[name] = members[name].link_address
        if not members:
            for address in self._cfg.peers_seeds:
                if address != self._cfg.peers_listen:
                    wanted[f"{address[0]}:{address[1]}"] = address
        return wanted
