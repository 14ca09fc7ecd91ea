"""Group membership and failure detection by random probing (SWIM).

Probes carry membership updates; incarnation numbers let a node refute a false
suspicion.
"""

import math
from dataclasses import dataclass

__all__ = ["Member", "Membership", "Probe", "Status", "Update"]

PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.25
INDIRECT_PROBES = 3
# Probe periods that a suspect has to refute in a group of up to ten members.
MIN_SUSPECT_PERIODS = 4
# Updates carried by one message.
MAX_UPDATES = 8
# An update is sent this many times the logarithm (base 2) of the group's size.
RETRANSMIT_FACTOR = 3
DEAD_RETENTION_S = 600.0


class Status:
    """States of a member; within one incarnation the higher number wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(slots=True)
class Member:
    """One node as this node sees it.

    `facts` are its addresses and zone, `since` is the time of its last change of
    status in seconds.
    """

    name: str
    facts: dict
    incarnation: int = 0
    status: int = Status.ALIVE
    since: float = 0.0


@dataclass(slots=True, frozen=True)
class Update:
    """The state of one member as sent to peers, piggybacked on probes."""

    name: str
    incarnation: int
    status: int
    facts: dict


@dataclass(slots=True, frozen=True)
class Probe:
    """A probe of `target` to send, through the member `via` if indirect."""

    target: str
    via: str | None
    sequence: int


class _Outstanding:
    """A probe without an answer yet; `indirect` once helpers were asked."""

    __slots__ = ("indirect", "sent", "target")

    def __init__(self, target, sent):
        self.target = target
        self.sent = sent
        self.indirect = False


class Membership:
    """The member table of one node and its failure detector.

    `tick` returns the probes to send. Each probe and each answer carries the
    bounded number of updates that `updates` returns, so the traffic per node doesn't
    grow with the group. A member that answers no probe becomes a suspect, and dead
    after a number of probe periods that grows with the logarithm of the group.
    """

    def __init__(self, name, facts, incarnation, rng):
        self.name = name
        self.incarnation = incarnation
        self._rng = rng
        self._members = {name: Member(name, facts, incarnation)}
        self._probe_order = []
        self._outstanding = {}
        self._sequence = 0
        self._next_probe = float("-inf")
        self._times_sent = {}
        self._events = []
        self._announce(self._members[name])

    # Reading

    def member(self, name):
        """Return the `Member` of a name, or None."""
        return self._members.get(name)

    def members(self):
        """Return all known members, including dead ones."""
        return list(self._members.values())

    def live(self):
        """Return the sorted names of members that may own roles.

        Suspects may, members that are leaving may not.
        """
        usable = (Status.ALIVE, Status.SUSPECT)
        return sorted(m.name for m in self._members.values() if m.status in usable)

    def reachable(self):
        """Return the sorted names of members that are not dead."""
        return sorted(m.name for m in self._members.values() if m.status != Status.DEAD)

    def is_dead(self, name):
        """Return whether a member is known to be dead."""
        member = self._members.get(name)
        return member is not None and member.status == Status.DEAD

    def events(self):
        """Return and clear [(name, status, why)] since the last call."""
        events = self._events
        self._events = []
        return events

    # Probing

    def tick(self, now):
        """Process timeouts up to `now`; return the probes to send."""
        probes = self._check_outstanding(now)
        self._check_suspects(now)
        self._drop_old_dead(now)
        if now < self._next_probe:
            return probes
        self._next_probe = now + PROBE_PERIOD_S
        target = self._next_target()
        if target is not None:
            probes.append(self._probe(target, now))
        return probes

    def _probe(self, target, now):
        self._sequence += 1
        self._outstanding[self._sequence] = _Outstanding(target, now)
        return Probe(target, None, self._sequence)

    def _next_target(self):
        while self._probe_order:
            name = self._probe_order.pop()
            member = self._members.get(name)
            if member is not None and member.status != Status.DEAD:
                return name
        self._probe_order = [name for name in self.reachable() if name != self.name]
        self._rng.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _check_outstanding(self, now):
        probes = []
        for sequence, out in list(self._outstanding.items()):
            waited = now - out.sent
            if not out.indirect and waited >= PROBE_TIMEOUT_S:
                out.indirect = True
                probes.extend(self._indirect(out.target, sequence))
            elif waited >= 2 * PROBE_TIMEOUT_S + PROBE_PERIOD_S:
                del self._outstanding[sequence]
                self._suspect(out.target, now)
        return probes

    def _indirect(self, target, sequence):
        others = [n for n in self.live() if n not in (self.name, target)]
        helpers = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        return [Probe(target, via, sequence) for via in helpers]

    def _suspect(self, name, now):
        member = self._members.get(name)
        if member is None or member.status not in (Status.ALIVE,):
            if member is not None and member.status == Status.LEAVING:
                self._set(member, Status.DEAD, now, "left and stopped answering")
            return
        self._set(member, Status.SUSPECT, now, "no answer, direct or through others")

    def suspicion_seconds(self):
        """Return the seconds that a suspect has to refute its suspicion."""
        size = max(len(self._members), 2)
        return MIN_SUSPECT_PERIODS * PROBE_PERIOD_S * max(1.0, math.log10(size))

    def _check_suspects(self, now):
        limit = self.suspicion_seconds()
        for member in list(self._members.values()):
            if member.status == Status.SUSPECT and now - member.since >= limit:
                self._set(member, Status.DEAD, now, "suspicion was not refuted")

    def _drop_old_dead(self, now):
        for member in list(self._members.values()):
            if member.status == Status.DEAD and now - member.since > DEAD_RETENTION_S:
                del self._members[member.name]

    def _set(self, member, status, now, why):
        member.status = status
        member.since = now
        self._announce(member)
        self._events.append((member.name, status, why))

    # Messages

    def on_ack(self, sequence, now):
        """Record the answer to a probe; ignore one of an unknown sequence."""
        out = self._outstanding.pop(sequence, None)
        if out is not None:
            self.heard_from(out.target, now)

    def heard_from(self, name, now):
        """Record direct contact with a member; clears this node's suspicion only."""
        member = self._members.get(name)
        if member is not None and member.status == Status.SUSPECT:
            self._set(member, Status.ALIVE, now, "answered again")

    def leave(self, now):
        """Announce that this node is stopping and can no longer own roles."""
        me = self._members[self.name]
        self._set(me, Status.LEAVING, now, "is stopping")

    def hint_dead(self, name, now):
        """Suspect a member that the platform reports dead.

        The platform may be wrong, so the member still has time to refute. One that is
        leaving counts as dead at once.
        """
        self._suspect(name, now)

    def _announce(self, member):
        self._times_sent[member.name] = 0

    def updates(self):
        """Return up to `MAX_UPDATES` updates to send, the least sent ones first."""
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._members) + 1))
        chosen = sorted(self._times_sent, key=lambda name: self._times_sent[name])
        result = []
        for name in chosen[:MAX_UPDATES]:
            member = self._members.get(name)
            self._times_sent[name] += 1
            if member is None or self._times_sent[name] > limit:
                del self._times_sent[name]
            if member is not None:
                result.append(_update_of(member))
        return result

    def all_updates(self):
        """Return updates on all members, for a node that joins."""
        return [_update_of(member) for member in self._members.values()]

    def apply(self, updates, now):
        """Merge updates from a peer; refute false ones about this node."""
        for update in updates:
            if update.name == self.name:
                self._refute(update, now)
            else:
                self._merge(update, now)

    def _refute(self, update, now):
        me = self._members[self.name]
        if update.incarnation < me.incarnation:
            return
        if update.status <= me.status and update.incarnation == me.incarnation:
            return
        me.incarnation = self.incarnation = update.incarnation + 1
        self._announce(me)
        self._events.append((self.name, me.status, "refuted a false report"))

    def _merge(self, update, now):
        member = self._members.get(update.name)
        if member is None:
            if update.status == Status.DEAD:
                return
            member = Member(update.name, update.facts, update.incarnation)
            member.status = update.status
            member.since = now
            self._members[update.name] = member
            self._announce(member)
            self._events.append((member.name, update.status, "joined"))
            self._probe_order.insert(
                self._rng.randint(0, len(self._probe_order)), member.name
            )
            return
        newer = update.incarnation > member.incarnation
        same = update.incarnation == member.incarnation
        if not newer and not (same and update.status > member.status):
            return
        changed = update.status != member.status
        member.incarnation = update.incarnation
        member.facts = update.facts or member.facts
        if changed:
            why = "was reported so by a peer"
            self._set(member, update.status, now, why)
        else:
            self._announce(member)


def _update_of(member):
    return Update(member.name, member.incarnation, member.status, member.facts)
