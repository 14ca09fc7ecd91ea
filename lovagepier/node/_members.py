"""The membership actor: probes peers and publishes the roster."""

import random
import time
from dataclasses import dataclass

from lovagepier.decisions.membership.membership import Membership, Status, Update
from lovagepier.node._actors import NodeActor, Tick
from lovagepier.node._roster import Roster
from lovagepier.peers import messages

__all__ = ["Leave", "MembersActor", "PeerMessage"]

_STATUS_TEXTS = {
    Status.ALIVE: "alive",
    Status.SUSPECT: "suspected",
    Status.LEAVING: "leaving",
    Status.DEAD: "dead",
}
SEED_PROBE_PERIOD_S = 1.0


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from a peer; `reply(answer)` sends the answer."""

    body: object
    reply: object


@dataclass(slots=True, frozen=True)
class Leave:
    """Sent once, when this node starts its graceful stop."""


class MembersActor(NodeActor):
    """Runs the `Membership` protocol over the links to peers."""

    component = "members"
    handlers = {Tick: "on_tick", PeerMessage: "on_peer_message", Leave: "on_leave"}

    def __init__(self, node):
        super().__init__(node)
        rng = random.Random(f"{node.cfg.node_name}/{node.boot}")
        incarnation = int(time.time() * 1000)
        self._members = Membership(node.cfg.node_name, node.facts(), incarnation, rng)
        self._last_seed_probe_at = float("-inf")
        self._publish()

    def on_tick(self, _):
        """Probe members and unknown seeds, then publish changes."""
        now = self.node.clock()
        for probe in self._members.tick(now):
            self._send_probe(probe)
        if now - self._last_seed_probe_at >= SEED_PROBE_PERIOD_S:
            self._last_seed_probe_at = now
            self._probe_seeds()
        self._publish_changes()

    def _send_probe(self, probe):
        receiver = probe.via or probe.target
        self._send(receiver, self._probe_body(probe.target, probe.sequence))

    def _probe_body(self, target, sequence, updates=None):
        rows = self._members.updates() if updates is None else updates
        return messages.Probe(
            origin=self.node.cfg.node_name,
            target=target,
            sequence=sequence,
            config_version=self.node.view.version,
            updates=[_encode_update(update) for update in rows],
        )

    def _send(self, name, body):
        member = self._members.member(name)
        if member is None or not member.facts.get("peer"):
            return
        self.node.links.tell(tuple(member.facts["peer"]), body)

    def _probe_seeds(self):
        known = {
            tuple(member.facts.get("peer", ()))
            for member in self._members.members()
            if member.status != Status.DEAD
        }
        for address in self.node.seeds():
            if tuple(address) not in known:
                everything = self._members.all_updates()
                body = self._probe_body("", 0, everything)
                self.node.links.tell(address, body)

    def on_peer_message(self, message):
        """Apply a peer's updates; answer, relay or acknowledge its probe."""
        body = message.body
        now = self.node.clock()
        if body.origin == self.node.cfg.node_name:
            return
        is_new = self._members.member(body.origin) is None
        self._members.apply([Update(*row) for row in body.updates], now)
        self._members.heard_from(body.origin, now)
        self.node.note_peer_version(body.origin, body.config_version)
        if isinstance(body, messages.Probe):
            self._answer_probe(body, is_new)
        else:
            self._members.on_ack(body.sequence, now)
        self._publish_changes()

    def _answer_probe(self, body, is_new):
        me = self.node.cfg.node_name
        if body.target and body.target != me:
            self._relay(body)
            return
        members = self._members
        updates = members.all_updates() if is_new else members.updates()
        ack = messages.ProbeAck(
            me,
            body.sequence,
            self.node.view.version,
            [_encode_update(u) for u in updates],
        )
        self._send(body.origin, ack)

    def _relay(self, body):
        # The target answers the origin directly, so the relayed probe keeps the
        # origin's name. This helps if the connection fails from the origin to the
        # target only; if it fails in both directions, the target still looks dead.
        self._send(body.target, body)

    def on_leave(self, _):
        """Announce to all reachable peers that this node is leaving."""
        self._members.leave(self.node.clock())
        for name in self._members.reachable():
            if name != self.node.cfg.node_name:
                self._send(name, self._probe_body(name, 0))
        self._publish_changes()

    def _publish_changes(self):
        events = self._members.events()
        for name, status, why in events:
            self.node.timeline.add(
                "members", f"node {_STATUS_TEXTS[status]}", why=why, subject=name
            )
            self.log.info("node state changed", node=name, state=_STATUS_TEXTS[status])
        if events:
            self._publish()

    def _publish(self):
        members = self._members.members()
        dead = [m.name for m in members if m.status == Status.DEAD]
        self.node.set_roster(
            Roster(
                self.node.cfg.node_name,
                members,
                self._members.live(),
                self._members.reachable(),
                dead,
            )
        )


def _encode_update(update):
    return [update.name, update.incarnation, update.status, update.facts]
