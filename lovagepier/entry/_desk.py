"""This host's way to the home: who it is now, and asks that wait for it."""

import asyncio

from lovagepier.entry._messages import (
    Ask,
    Beat,
    Changed,
    Done,
    First,
    Granted,
    MirrorAsk,
    MirrorTold,
    Refused,
    Register,
    Roster,
    Withdraw,
)
from lovagepier.entry._reach import RESERVE_BEATS, Reach
from lovagepier.entry._served import Served
from lovagepier.entry._shares import Shares
from lovagepier.entry._sharing import Sharing
from lovagepier.logs import component_logger

__all__ = ["Desk"]

# How often an entry host and the home tell each other that they are there.
BEAT_S = 0.25
# A host that has just started serves by itself so long at the most before it holds
# the others for lost; meanwhile it keeps the first home that it reaches, since
# registrations of before and after a loss of all hosts would make it change often.
SETTLE_S = 1.0
# It may still change to a more senior one for this long: links open one by one.
SETTLE_PICK_S = 0.15
# It looks for a home this often until it has one.
SETTLE_STEP_S = 0.05
# How many of the most senior hosts are kept connected besides the home in use.
CANDIDATES = 2
# A host that could not be reached is tried again after this.
REDIAL_S = 0.3
# So many of the most senior hosts watch the store; the others learn from the
# home, or the store's rates would have to grow with the fleet.
WATCHING_HOSTS = 9
# Hosts that learn from a home watch for themselves once it knows nothing newer
# than this.
HOME_STALE_S = 1.5 + 2.0

_log = component_logger("members")


def _home_order(host):
    """Order hosts by power, then by how long they have been registered."""
    return -host.capacity_score, host.create_revision


class _Pending:
    __slots__ = ("ask", "fut")

    def __init__(self, ask, fut):
        self.ask = ask
        self.fut = fut


class Desk:
    """Asks the home, or this host's own where the others can't be reached.

    Homes succeed each other by seniority of their registration among the most
    powerful hosts, so that a host that comes back takes nothing over.
    """

    def __init__(self, cfg, view, home, apply_keys):
        self._cfg = cfg
        self._view = view
        self._home = home
        self.sharing = Sharing(view, apply_keys)
        self._loop = asyncio.get_running_loop()
        self.served = Served(cfg, view, home)
        self._reach = Reach(self.on_message, self._on_link, self.choose)
        self._shares = Shares(view)
        self._pending = {}
        self._running = {}
        self._roster = []
        self._condemned = set()
        self._home_age = 0.0
        self._rounds = 0
        self._quota_levels = None
        self._turned_at = 0.0
        self._began = self._loop.time()
        self.current = None

    # For the exchange

    async def ask(self, ask):
        """Return `Granted` or `Refused`; the caller bounds the wait."""
        fut = self._loop.create_future()
        pending = _Pending(ask, fut)
        self._pending[ask.id] = pending
        try:
            self._send_ask(pending)
            answer = await fut
        except asyncio.CancelledError:
            self._to_home(Withdraw(ask.id))
            self._drop_grant(fut, ask.id)
            raise
        finally:
            self._pending.pop(ask.id, None)
        if isinstance(answer, Granted):
            self._running[ask.id] = (ask, answer.target)
        return answer

    def _drop_grant(self, fut, ask_id):
        if fut.done() and not fut.cancelled() and isinstance(fut.result(), Granted):
            self._to_home(Done(ask_id, fut.result().target, "returned", None, None, 0))

    def first(self, ask_id, seconds):
        """Tell the home that an answer has begun."""
        self._to_home(First(ask_id, seconds))

    def done(self, done):
        """Tell the home what became of a dispatch."""
        self._running.pop(done.id, None)
        self._to_home(done)

    def is_condemned(self, fingerprint):
        """Return whether no host may run a request with this fingerprint."""
        return fingerprint in self._condemned

    def live_hosts(self):
        """Return [name, callers' address, zone, leaving] rows of live hosts."""
        if self._serves_itself():
            return self.served.rows()
        return self._roster

    # Messages

    def _send_ask(self, pending):
        self._to_home(pending.ask)

    def _to_home(self, message):
        if self.current is None:
            # Asks wait here; they are sent once a home is found.
            return
        if self._serves_itself():
            self._handle(self._cfg.host_name, message)
            return
        link = self._reach.links.get(self.current)
        if link is None or not link.send(message):
            self._loop.call_soon(self.choose)

    def send_to_entry(self, entry, message):
        """Send the home's answer to an entry host."""
        if entry == self._cfg.host_name:
            self._on_answer(message)
            return
        link = self.served.links.get(entry)
        if link is not None:
            link.send(message)

    def on_message(self, link, message):
        """Handle a message from any link."""
        if isinstance(message, Beat):
            self._on_beat(link, message)
        elif isinstance(message, Roster):
            self._on_roster(link, message)
        elif isinstance(message, (Granted, Refused)):
            self._on_answer(message)
        elif isinstance(message, Changed):
            self.sharing.on_changed(message)
        elif isinstance(message, MirrorAsk):
            link.send(self.sharing.packed())
        elif isinstance(message, MirrorTold):
            self.sharing.on_mirror(message)
        elif link.peer:
            self._handle(link.peer, message)

    def _handle(self, entry, message):
        now = self._loop.time()
        home = self._home
        if isinstance(message, Ask):
            home.on_ask(entry, message, now)
        elif isinstance(message, First):
            home.on_first(entry, message, now)
        elif isinstance(message, Done):
            home.on_done(entry, message, now)
        elif isinstance(message, Withdraw):
            home.on_withdraw(entry, message.id, now)
        elif isinstance(message, Register):
            rows = [(Ask(*fields), target) for fields, target in message.running]
            home.on_register(
                entry, Register(rows, message.condemned, message.brakes), now
            )

    def _on_answer(self, message):
        pending = self._pending.get(message.id)
        if pending is not None and not pending.fut.done():
            pending.fut.set_result(message)
        elif isinstance(message, Granted) and message.id not in self._running:
            # Its caller left, or another home granted it first.
            self._to_home(Done(message.id, message.target, "returned", None, None, 0))

    def _on_beat(self, link, beat):
        if self.served.on_beat(link, beat):
            self._adjust_share()
        self.sharing.compare(link, beat)
        link.send(self.served.roster(link))

    # The home that this host turns to

    def _on_roster(self, link, roster):
        self.sharing.compare(link, roster)
        if roster.hosts is not None:
            link.roster = roster.hosts
        if link.peer != self.current:
            return
        self._home_age = roster.store_age
        self._roster = link.roster
        self._quota_levels = roster.quotas
        self._home.moves.adopt(roster.moves)
        self._condemned.update(roster.condemned)
        for service, revision, cause in roster.brakes:
            self._home.moves.take_back(service, revision, cause)

    def should_watch(self):
        """Return whether this host must follow the store itself."""
        if self.current is None or self._serves_itself():
            return True
        if self._view.catalog is None or self._home_age > HOME_STALE_S:
            return True
        return self._cfg.host_name in self._candidates()[:WATCHING_HOSTS]

    def _serves_itself(self):
        return self.current == self._cfg.host_name

    def _candidates(self):
        """Return the hosts that may be home, most senior first, this one too."""
        members = self._view.members()
        ranked = sorted(members.values(), key=_home_order)
        leaving = {name for name, _, _, going in self._roster if going}
        names = [host.name for host in ranked if host.name not in leaving]
        if self._cfg.host_name not in names and not self.served.leaving:
            names.append(self._cfg.host_name)
        if self.served.leaving:
            names = [name for name in names if name != self._cfg.host_name]
            names.append(self._cfg.host_name)
        return names

    def choose(self):
        """Turn to the most senior host that can be reached, else serve alone."""
        if self._keeps_first_home():
            return
        for name in self._candidates():
            if name == self._cfg.host_name or self._reach.is_up(name):
                self._turn_to(name)
                return

    def _settling(self):
        return self._loop.time() - self._began < SETTLE_S

    def _keeps_first_home(self):
        if not self._settling() or not self._has_other_home():
            return False
        picked = self._loop.time() - self._turned_at >= SETTLE_PICK_S
        return picked and self._reach.is_up(self.current)

    def _has_other_home(self):
        return self.current not in (None, self._cfg.host_name)

    def _turn_to(self, name):
        if name == self.current:
            return
        _log.info("turned to a home", home=name, before=self.current)
        self._reach.use(name)
        if name in self._reach.links:
            self._reach.links[name].send(self._beat(True))
        now = self._loop.time()
        if name == self._cfg.host_name and self.current is not None:
            self._home.take_over(now, self._quota_levels)
        elif self._serves_itself():
            self._home.on_entry_lost(self._cfg.host_name, now)
        self.current = name
        self._turned_at = now
        self._adjust_share()
        rows = [
            [[getattr(ask, field) for field in Ask.__slots__], target]
            for ask, target in self._running.values()
        ]
        if not self._serves_itself() or rows:
            self._to_home(
                Register(rows, sorted(self._condemned), self._home.moves.brakes())
            )
        for pending in list(self._pending.values()):
            if not pending.fut.done():
                self._send_ask(pending)

    # Upkeep

    async def run(self):
        """Keep links, beats and the choice of the home up for good."""
        while True:
            self._upkeep()
            self.sharing.pass_on(list(self.served.links.values()))
            await self._rest()

    async def _rest(self):
        """Wait for the next round; a host without a home looks for one meanwhile."""
        until = self._loop.time() + BEAT_S
        while self._settling() and not self._has_other_home():
            if self._loop.time() >= until:
                return
            await asyncio.sleep(SETTLE_STEP_S)
            self._dial_wanted()
        await asyncio.sleep(until - self._loop.time())

    def _dial_wanted(self):
        """Dial the hosts that this one wants a link to; return them."""
        wanted = self._wanted()
        pause = SETTLE_STEP_S if self._settling() else REDIAL_S
        for name, address in wanted.items():
            self._reach.dial(name, address, pause)
        return wanted

    def _on_link(self, link):
        link.send(self._beat(False))
        self.choose()

    def _upkeep(self):
        self._reach.cut_silent(list(self.served.links.values()))
        wanted = self._dial_wanted()
        self.choose()
        self._reach.use(self.current)
        self._rounds += 1
        for name, link in list(self._reach.links.items()):
            if name not in wanted and not link.in_use:
                link.close()
            elif link.in_use or self._rounds % RESERVE_BEATS == 0:
                link.send(self._beat(link.in_use))
        self._adjust_share()

    def _beat(self, asks):
        return Beat(
            self._cfg.host_name,
            asks,
            self._cfg.host_zone,
            self.served.own_address,
            self.served.leaving,
            self._view.version,
            self._view.as_of,
            self._store_age(),
        )

    def _store_age(self):
        return self._view.store_age(self._loop.time())

    def announce(self):
        """Tell the home at once that this host is leaving."""
        self.served.tell_leaving()
        for link in self._reach.links.values():
            link.send(self._beat(link.in_use))

    def _wanted(self):
        """Return {name: address} of hosts to be linked to."""
        members = self._view.members()
        wanted = {}
        reachable = 0
        for name in self._candidates():
            if name == self._cfg.host_name:
                if not self.served.leaving:
                    break
                continue
            host = members.get(name)
            if host is None:
                continue
            address, port = host.peer_address.rsplit(":", 1)
            wanted[name] = (address, int(port))
            reachable += self._reach.is_up(name)
            if reachable >= CANDIDATES or len(wanted) >= 2 * CANDIDATES:
                break
        if not members:
            for address in self._cfg.peers_seeds:
                if address != self._cfg.peers_listen:
                    wanted[f"{address[0]}:{address[1]}"] = address
        return wanted

    def _adjust_share(self):
        served = self.served.asking() + self._serves_itself()
        first = self._settling() and self._cfg.host_first_start != "true"
        now = self._loop.time()
        self._home.set_share(*self._shares.parts(served, first, now), now)
