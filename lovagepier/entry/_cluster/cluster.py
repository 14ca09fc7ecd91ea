"""This host's place among the entry hosts: its coordinator and its requests to it.

Every entry host runs a `Coordinator`. Hosts that reach each other use the same one,
and their requests are decided there. In names of log fields and metrics
"home" means the coordinator.
"""

import asyncio

from lovagepier.entry._cluster.candidates import Candidates
from lovagepier.entry._cluster.capacity import CapacityShares
from lovagepier.entry._cluster.deferral import RefusalDeferral
from lovagepier.entry._cluster.followers import Followers
from lovagepier.entry._cluster.host_messages import HostMessages
from lovagepier.entry._cluster.links import LinkCounts
from lovagepier.entry._cluster.messages import (
    Granted,
    Heartbeat,
    LimitStated,
    Refused,
    Roster,
    RunningReport,
    SnapshotRequest,
    StoreDelta,
    StoreSnapshot,
    TargetLeaving,
    TargetPaused,
)
from lovagepier.entry._cluster.older_formats import readable_progress
from lovagepier.entry._cluster.outgoing import STANDBY_HEARTBEAT_ROUNDS, OutgoingLinks
from lovagepier.entry._cluster.replication import Replication
from lovagepier.entry._cluster.requests import Requests
from lovagepier.entry._targets.statements import TargetStatements
from lovagepier.logs import component_logger

__all__ = ["Cluster"]

# Interval of heartbeats and of the rosters that answer them.
HEARTBEAT_INTERVAL_S = 0.25
# For this long after its start a host does not treat unreachable hosts as lost. It
# decides for itself until it reaches another coordinator, then keeps that one: after a
# loss of all hosts the store lists old and new registrations, and choosing by seniority
# would make it switch often.
STARTUP_S = 1.0
# A starting host may still switch to a more senior coordinator for this long, because
# links open one by one.
STARTUP_SWITCH_S = 0.15
STARTUP_REDIAL_INTERVAL_S = 0.05
REDIAL_INTERVAL_S = 0.3
# Only this many of the most senior hosts watch the store. The others get changes from
# their coordinator; otherwise the store's load would grow with the number of hosts.
MAX_WATCHING_HOSTS = 9
# Hosts that get changes from their coordinator watch the store themselves once the
# store last answered the coordinator longer ago than this.
MAX_COORDINATOR_STORE_AGE_S = 1.5 + 2.0

_log = component_logger("members")


class Cluster:
    """Chooses which host's coordinator this host uses, and carries messages to it.

    The coordinator is the most senior of the `candidates` that can be reached, this
    host if no more senior one can. `requests` are this host's own, `statements` what
    targets say of themselves.

    `boot` identifies this incarnation of the host. `coordinator_name` is the host of
    the coordinator in use, None before the first. `link_counts` are the `LinkCounts`
    of all its links.
    """

    def __init__(self, cfg, view, coordinator, apply_keys, boot=""):
        self._cfg = cfg
        self._view = view
        self._coordinator = coordinator
        self.replication = Replication(view, apply_keys)
        self.statements = TargetStatements(
            cfg.host_name, view, coordinator.pauses, apply_keys, self._send_if_follower
        )
        self._loop = asyncio.get_running_loop()
        self.followers = Followers(cfg, view, coordinator, boot)
        self.link_counts = LinkCounts()
        self._outgoing = OutgoingLinks(
            self.on_message, self._on_link, self.choose_coordinator, self.link_counts
        )
        self.candidates = Candidates(cfg, view, self._outgoing, self.followers, boot)
        self.requests = Requests(self._send_to_coordinator)
        self._host_messages = HostMessages(coordinator, self.followers, self.statements)
        self._capacity = CapacityShares(view)
        self._roster = []
        self._coordinator_store_age = 0.0
        self._rounds = 0
        self._quota_levels = None
        self._retry_levels = {}
        self._switched_at = 0.0
        self._started_at = self._loop.time()
        self._deferral = RefusalDeferral(
            cfg, self.followers, self.requests, self._started_at
        )
        self.coordinator_name = None

    # Used by the host's other parts

    def is_poisoned(self, fingerprint):
        """Return whether no host may run a request with this fingerprint."""
        return self._coordinator.poison_detector.is_poison(fingerprint)

    def report_limit(self, kind, grant, per_second):
        """Report a limit in the response to a granted request, None for none.

        `kind` is that of its `StatedLimits`. A response without a limit is only of
        interest if the target had one.
        """
        limits = self._coordinator.stated_limits[kind]
        if per_second is not None or limits.is_limited(grant.target):
            self._send_to_coordinator(
                LimitStated(grant.id, grant.target, grant.incarnation, per_second, kind)
            )

    def coordinator_view_age(self, now):
        """Return the seconds since the store last answered the coordinator in use."""
        if self._is_coordinator():
            return self._view.store_age(now)
        return self._coordinator_store_age

    def live_hosts(self):
        """Return the rows of the live hosts, see `Roster`."""
        if self._is_coordinator():
            return self.followers.host_rows()
        return self._roster

    # Messages

    def _send_to_coordinator(self, message):
        if self.coordinator_name is None:
            # Waiting requests are sent once a coordinator is chosen.
            return
        if self._is_coordinator():
            self._host_messages.handle(self._cfg.host_name, message, self._loop.time())
            return
        link = self._outgoing.links.get(self.coordinator_name)
        if link is not None:
            link.send(message)
        if link is None or not link.is_open:
            self._loop.call_soon(self.choose_coordinator)

    def _send_if_follower(self, message):
        if not self._is_coordinator():
            self._send_to_coordinator(message)

    def send_to_host(self, entry, message):
        """Send an answer of this host's coordinator to an entry host."""
        if entry == self._cfg.host_name:
            if not self._deferral.defers(message, self._loop.time()):
                self.requests.on_answer(message)
            return
        link = self.followers.links.get(entry)
        if link is not None:
            link.send(message)

    def on_message(self, link, message):
        """Handle a message from any link."""
        if isinstance(message, Heartbeat):
            self._on_heartbeat(link, message)
        elif isinstance(message, Roster):
            self._on_roster(link, message)
        elif isinstance(message, (Granted, Refused)):
            self.requests.on_answer(message)
        elif isinstance(message, StoreDelta):
            self.replication.on_delta(message)
        elif isinstance(message, SnapshotRequest):
            link.send(self.replication.snapshot())
        elif isinstance(message, StoreSnapshot):
            self.replication.on_snapshot(message)
        elif isinstance(message, (TargetLeaving, TargetPaused)):
            self.statements.on_message(message)
        elif link.peer:
            self._host_messages.handle(link.peer, message, self._loop.time())

    def _on_heartbeat(self, link, heartbeat):
        if self.followers.on_heartbeat(link, heartbeat):
            self.update_shares()
            self.requests.resend_deferred()
        self.replication.request_if_behind(link, heartbeat)
        link.send(self.followers.roster(link))

    # Choice of the coordinator

    def _on_roster(self, link, roster):
        self._outgoing.rename(link, roster.coordinator)
        self.replication.request_if_behind(link, roster)
        link.store_answered_at = self._loop.time() - roster.store_age
        if roster.hosts is not None:
            link.roster = roster.hosts
        if link.boot != roster.boot:
            link.boot = roster.boot
            self.choose_coordinator()
        if link.peer != self.coordinator_name:
            return
        self._coordinator_store_age = roster.store_age
        self._roster = link.roster
        self._quota_levels = roster.quota_levels
        self._retry_levels = roster.retry_levels
        self._coordinator.rollouts.merge_progress(readable_progress(roster.rollouts))
        self._merge_evidence(roster)
        self._coordinator.replace_limits(roster, self._loop.time())
        if roster.leaving is not None:
            self.statements.mark_leaving(roster.leaving)
        for service, revision, cause in roster.rollbacks:
            self._coordinator.rollouts.roll_back(service, revision, cause)

    def _merge_evidence(self, roster):
        """Copy the coordinator's evidence on suspects, to continue if it is lost."""
        detector = self._coordinator.poison_detector
        now = self._loop.time()
        detector.merge_poisoned(roster.poisoned, now)
        if roster.suspects is not None:
            detector.replace_rows(roster.suspects, now)

    def should_watch(self):
        """Return whether this host must watch the store itself."""
        if self._is_starting() and self.candidates.may_read_from_peers():
            return False
        if self.coordinator_name is None or self._is_coordinator():
            return True
        if (
            self._view.catalog is None
            or self._coordinator_store_age > MAX_COORDINATOR_STORE_AGE_S
        ):
            return True
        return (
            self._cfg.host_name
            in self.candidates.names(self._roster)[:MAX_WATCHING_HOSTS]
        )

    def _is_coordinator(self):
        return self.coordinator_name == self._cfg.host_name

    def choose_coordinator(self):
        """Switch to the most senior host that can be reached, possibly this one."""
        if self._keeps_first_coordinator():
            return
        for name in self.candidates.names(self._roster):
            if name == self._cfg.host_name or self._outgoing.is_known(name):
                self._switch_to(name)
                return

    def _is_starting(self):
        return self._loop.time() - self._started_at < STARTUP_S

    def _keeps_first_coordinator(self):
        if not self._is_starting() or not self._is_follower():
            return False
        is_settled = self._loop.time() - self._switched_at >= STARTUP_SWITCH_S
        return is_settled and self._outgoing.is_up(self.coordinator_name)

    def _is_follower(self):
        return self.coordinator_name not in (None, self._cfg.host_name)

    def _switch_to(self, name):
        if name == self.coordinator_name:
            return
        _log.info("switched coordinator", home=name, before=self.coordinator_name)
        self._outgoing.use(name)
        if name in self._outgoing.links:
            self._outgoing.links[name].send(self._heartbeat(True))
        now = self._loop.time()
        if name == self._cfg.host_name and self.coordinator_name is not None:
            self._coordinator.take_over(now, self._quota_levels, self._retry_levels)
        elif self._is_coordinator():
            self._coordinator.on_entry_lost(self._cfg.host_name, now)
        self.coordinator_name = name
        self._switched_at = now
        self.update_shares()
        rows = self.requests.running_rows()
        if not self._is_coordinator() or rows:
            self._send_to_coordinator(self._running_report(rows, now))
        self.requests.resend_all()

    def _running_report(self, rows, now):
        coordinator = self._coordinator
        spent = {} if self._is_coordinator() else coordinator.quotas.take_spent(now)
        return RunningReport(
            rows,
            coordinator.poison_detector.poisoned(),
            coordinator.rollouts.rollbacks(),
            spent,
            coordinator.poison_detector.suspect_rows(),
            coordinator.rate_limits.rows,
            self._view.leaving,
            self.statements.pause_rows(),
            coordinator.rejection_limits.rows,
        )

    # Periodic work

    async def run(self):
        """Maintain links, send heartbeats and choose the coordinator, forever."""
        while True:
            self._run_guarded(self._maintain)
            self._run_guarded(self._send_delta)
            await self._wait_for_next_round()

    def _run_guarded(self, step):
        try:
            step()
        except Exception as exc:  # noqa: BLE001  the next round must come
            _log.error("maintenance of links failed", exc_info=exc)

    def _send_delta(self):
        self.replication.send_delta(list(self.followers.links.values()))

    async def _wait_for_next_round(self):
        """Wait one heartbeat interval.

        A starting host that follows no coordinator dials others meanwhile.
        """
        until = self._loop.time() + HEARTBEAT_INTERVAL_S
        while self._is_starting() and not self._is_follower():
            if self._loop.time() >= until:
                return
            await asyncio.sleep(STARTUP_REDIAL_INTERVAL_S)
            self._run_guarded(self._dial_peers)
            self._run_guarded(self._send_delta)
        await asyncio.sleep(until - self._loop.time())

    def _dial_peers(self):
        """Dial the hosts that this one should be linked to; return their addresses."""
        wanted = self.candidates.wanted_links(self._roster)
        interval = (
            STARTUP_REDIAL_INTERVAL_S if self._is_starting() else REDIAL_INTERVAL_S
        )
        for name, address in wanted.items():
            self._outgoing.dial(name, address, interval)
        return wanted

    def _on_link(self, link):
        link.send(self._heartbeat(False))
        self.choose_coordinator()

    def _maintain(self):
        self._outgoing.close_silent(list(self.followers.links.values()))
        wanted = self._dial_peers()
        self.choose_coordinator()
        self._outgoing.use(self.coordinator_name)
        self._rounds += 1
        for name, link in list(self._outgoing.links.items()):
            if name not in wanted and not link.in_use:
                # The order of the candidates changes with each registration after
                # a loss of all hosts.
                if not self._is_starting():
                    link.close()
            elif link.in_use or self._rounds % STANDBY_HEARTBEAT_ROUNDS == 0:
                link.send(self._heartbeat(link.in_use))
        self.update_shares()

    def _heartbeat(self, is_follower):
        return Heartbeat(
            self._cfg.host_name,
            is_follower,
            self._cfg.host_zone,
            self.followers.own_address,
            self.followers.draining,
            self._view.version,
            self._view.as_of,
            self._store_age(),
            self.followers.is_cut_off,
        )

    def _store_age(self):
        return self._view.store_age(self._loop.time())

    def set_cut_off(self, is_cut_off):
        """Notify all linked hosts whether this host reaches few of the targets."""
        if is_cut_off == self.followers.is_cut_off:
            return
        self.followers.is_cut_off = is_cut_off
        _log.warning("paths to most targets", lost=is_cut_off)
        self.followers.push_rosters()
        self._send_heartbeats()

    def announce_draining(self):
        """Notify all linked hosts at once that this host is draining."""
        self.followers.announce_draining()
        self._send_heartbeats()

    def _send_heartbeats(self):
        for link in self._outgoing.links.values():
            link.send(self._heartbeat(link.in_use))

    def update_shares(self):
        """Set the fractions that this host hands out, by the hosts that follow it."""
        host_count = self.followers.count() + self._is_coordinator()
        starting = self._is_starting() and self._cfg.host_first_start != "true"
        now = self._loop.time()
        self._coordinator.set_share(
            *self._capacity.compute(host_count, starting, now), now, bool(host_count)
        )
