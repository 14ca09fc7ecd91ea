"""The pools homed at this node: their actors, and how messages reach them."""

import threading

from lovagepier.node._actors import mailbox_fill, post
from lovagepier.node._pool import PoolActor
from lovagepier.node._pool_messages import (
    FirstByteReported,
    LookupRequested,
    OutcomeReported,
    PauseRequested,
    PermitRequested,
    RequestWithdrawn,
    Retire,
    RunningReported,
)
from lovagepier.peers import messages

__all__ = ["Pools"]

SHED_FILL_STEP = 0.15
MAX_MAILBOX_FILL = 0.95


class Pools:
    """Starts pool actors on demand and hands them what arrives."""

    def __init__(self, node):
        self._node = node
        self._refs = {}
        self._statuses = {}
        self._lock = threading.Lock()

    def refs(self):
        """Return [((subject, region), actor)] of the pools homed here."""
        with self._lock:
            return list(self._refs.items())

    def publish(self, subject, region, status):
        """Take in what a pool's actor says of itself."""
        with self._lock:
            self._statuses[(subject, region)] = status

    def statuses(self):
        """Return the newest status of each pool homed here."""
        with self._lock:
            return [
                {"subject": key[0], "region": key[1], **self._statuses.get(key, {})}
                for key in self._refs
            ]

    def on_roster(self, roster):
        """Give up the pools whose home is another node now."""
        for (subject, region), ref in self.refs():
            home = roster.owner(f"pool/{subject}/{region}", region)
            if home is not None and home != self._node.cfg.node_name:
                with self._lock:
                    self._refs.pop((subject, region), None)
                    self._statuses.pop((subject, region), None)
                post(ref, Retire(home))

    def _exists(self, body):
        return (body.subject, body.region) in self._node.view.pools()

    def _actor(self, body):
        key = (body.subject, body.region)
        with self._lock:
            ref = self._refs.get(key)
            if ref is None or not ref.is_alive():
                ref = PoolActor.start(self._node, body.subject, body.region)
                self._refs[key] = ref
            return ref

    def request_permit(self, body, reply):
        """Ask for a permit; a filling mailbox turns lower tiers away first."""
        if self._node.stopping.is_set():
            home = self._node.roster.owner(
                f"pool/{body.subject}/{body.region}", body.region
            )
            if home != self._node.cfg.node_name:
                reply(messages.PermitResponse("moved", body.id, why=home))
                return
        if not self._exists(body):
            reply(_refusal(body, "no-target", "the region has no target for it"))
            return
        ref = self._actor(body)
        room = 1.0 - SHED_FILL_STEP * min(body.tier, 5)
        full = mailbox_fill(ref) >= room * MAX_MAILBOX_FILL
        if full or not post(ref, PermitRequested(body, reply)):
            reply(_refusal(body, "shed", "the home's mailbox is full"))

    def look_up(self, body, reply):
        """Ask whether an id is known here."""
        if not self._exists(body):
            reply(messages.PermitResponse("unknown", body.id))
            return
        post(self._actor(body), LookupRequested(body, reply))

    def pause(self, body, reply):
        """Tell that another region's pool lost work of a tier."""
        self._tell(body, PauseRequested(body.tier))

    def register(self, body, reply):
        """Tell of running work that another home granted."""
        if self._exists(body):
            post(self._actor(body), RunningReported(body.running))

    def first_byte(self, body, reply):
        """Tell of a first byte."""
        self._tell(body, FirstByteReported(body))

    def finished(self, body, reply):
        """Tell of an outcome."""
        self._tell(body, OutcomeReported(body))

    def withdraw(self, body, reply):
        """Tell that a caller went away."""
        self._tell(body, RequestWithdrawn(body.id))

    def _tell(self, body, message):
        with self._lock:
            ref = self._refs.get((body.subject, body.region))
        if ref is not None:
            post(ref, message)


def _refusal(body, kind, why):
    return messages.PermitResponse(
        "refuse", body.id, kind=kind, why=why, retry_after=1.0
    )
