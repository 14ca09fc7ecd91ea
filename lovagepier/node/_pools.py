"""The pools that this node coordinates: their actors and message dispatch."""

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

SHED_FILL_STEP_PER_TIER = 0.15
MAX_MAILBOX_FILL = 0.95


class Pools:
    """Starts pool actors on demand and passes messages to them.

    A pool is named by (subject, region); the subject is a model or a service.
    """

    def __init__(self, node):
        self._node = node
        self._refs = {}
        self._statuses = {}
        self._lock = threading.Lock()

    def refs(self):
        """Return [((subject, region), actor)] of the pools coordinated here."""
        with self._lock:
            return list(self._refs.items())

    def publish(self, subject, region, status):
        """Store the status that a pool's actor reports."""
        with self._lock:
            self._statuses[(subject, region)] = status

    def statuses(self):
        """Return the last status of each pool coordinated here."""
        with self._lock:
            return [
                {"subject": key[0], "region": key[1], **self._statuses.get(key, {})}
                for key in self._refs
            ]

    def on_roster(self, roster):
        """Retire the pools that another node should coordinate now."""
        for (subject, region), ref in self.refs():
            coordinator = roster.owner(f"pool/{subject}/{region}", region)
            if coordinator is not None and coordinator != self._node.cfg.node_name:
                with self._lock:
                    self._refs.pop((subject, region), None)
                    self._statuses.pop((subject, region), None)
                post(ref, Retire(coordinator))

    def _has_targets(self, body):
        return (body.subject, body.region) in self._node.view.pools()

    def _start_actor(self, body):
        key = (body.subject, body.region)
        with self._lock:
            ref = self._refs.get(key)
            if ref is None or not ref.is_alive():
                ref = PoolActor.start(self._node, body.subject, body.region)
                self._refs[key] = ref
            return ref

    def request_permit(self, body, reply):
        """Pass on a request for a permit, or refuse it at once.

        Lower tiers are refused at a lower fill of the actor's mailbox. A stopping
        node redirects to the new coordinator.
        """
        if self._node.stopping.is_set():
            coordinator = self._node.roster.owner(
                f"pool/{body.subject}/{body.region}", body.region
            )
            if coordinator != self._node.cfg.node_name:
                reply(messages.PermitResponse("moved", body.id, why=coordinator))
                return
        if not self._has_targets(body):
            reply(_refusal(body, "no-target", "the region has no target for it"))
            return
        ref = self._start_actor(body)
        room = 1.0 - SHED_FILL_STEP_PER_TIER * min(body.tier, 5)
        full = mailbox_fill(ref) >= room * MAX_MAILBOX_FILL
        if full or not post(ref, PermitRequested(body, reply)):
            reply(_refusal(body, "shed", "the coordinator's mailbox is full"))

    def look_up(self, body, reply):
        """Pass on the question whether an id was dispatched in the pool."""
        if not self._has_targets(body):
            reply(messages.PermitResponse("unknown", body.id))
            return
        post(self._start_actor(body), LookupRequested(body, reply))

    def pause(self, body, reply):
        """Pass on that another region's pool shed a request of a tier."""
        self._post_if_running(body, PauseRequested(body.tier))

    def register(self, body, reply):
        """Pass on running requests that another coordinator granted."""
        if self._has_targets(body):
            post(self._start_actor(body), RunningReported(body.running))

    def first_byte(self, body, reply):
        """Pass on the time to first byte of a granted request."""
        self._post_if_running(body, FirstByteReported(body))

    def finished(self, body, reply):
        """Pass on the outcome of a granted request."""
        self._post_if_running(body, OutcomeReported(body))

    def withdraw(self, body, reply):
        """Pass on that an entry host no longer waits for a request."""
        self._post_if_running(body, RequestWithdrawn(body.id))

    def _post_if_running(self, body, message):
        with self._lock:
            ref = self._refs.get((body.subject, body.region))
        if ref is not None:
            post(ref, message)


def _refusal(body, kind, why):
    return messages.PermitResponse(
        "refuse", body.id, kind=kind, why=why, retry_after=1.0
    )
