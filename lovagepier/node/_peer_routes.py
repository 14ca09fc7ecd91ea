"""Passes each message of a peer to the part of the node that handles its type."""

from lovagepier.node._actors import post
from lovagepier.node._ledger import ClaimReleased, ClaimRequested, ClaimSettled
from lovagepier.node._members import PeerMessage
from lovagepier.peers import messages

__all__ = ["PeerRoutes"]


class PeerRoutes:
    """The routes of a node's peer messages.

    `refs` maps the names of the node's actors to their references.
    """

    def __init__(self, node, refs):
        self._node = node
        self._refs = refs

    def handle(self, body, reply):
        """Handle one message; `reply(answer)` answers it. Other types are ignored."""
        route = _ROUTES.get(type(body))
        if route is not None:
            route(self, body, reply)

    def _to_members(self, body, reply):
        post(self._refs["members"], PeerMessage(body, reply))

    def _to_config(self, body, reply):
        post(self._refs["config"], PeerMessage(body, reply))

    def _to_rollouts(self, body, reply):
        post(self._refs["moves"], PeerMessage(body, reply))

    def _to_poison(self, body, reply):
        self._node.add_poison(body.fingerprints)

    def _to_ledger(self, body, reply):
        wrap = {
            messages.ClaimRequest: lambda: ClaimRequested(body, reply),
            messages.ClaimSettle: lambda: ClaimSettled(body, reply),
            messages.ClaimRelease: lambda: ClaimReleased(body, reply),
        }[type(body)]
        is_posted = post(self._refs["ledger"], wrap())
        if not is_posted and isinstance(body, messages.ClaimRequest):
            reply(messages.ClaimResponse("unavailable"))

    def _to_events(self, body, reply):
        found = self._node.timeline.find(
            body.request, body.move, body.since, body.limit
        )
        reply(messages.EventsResponse(found))

    def _to_status(self, body, reply):
        reply(messages.StatusResponse(self._node.status()))


def _to_pools(name):
    def route(routes, body, reply):
        getattr(routes._node.pools, name)(body, reply)

    return route


_ROUTES = {
    messages.Probe: PeerRoutes._to_members,
    messages.ProbeAck: PeerRoutes._to_members,
    messages.ConfigAnnouncement: PeerRoutes._to_config,
    messages.ConfigPull: PeerRoutes._to_config,
    messages.ConfigSnapshot: PeerRoutes._to_config,
    messages.PermitRequest: _to_pools("request_permit"),
    messages.PoolLookup: _to_pools("look_up"),
    messages.PoolFirstByte: _to_pools("first_byte"),
    messages.PoolFinished: _to_pools("finished"),
    messages.PoolPause: _to_pools("pause"),
    messages.PoolWithdraw: _to_pools("withdraw"),
    messages.PoolRegister: _to_pools("register"),
    messages.ClaimRequest: PeerRoutes._to_ledger,
    messages.ClaimSettle: PeerRoutes._to_ledger,
    messages.ClaimRelease: PeerRoutes._to_ledger,
    messages.EvidenceUpdate: PeerRoutes._to_rollouts,
    messages.RollbackNotice: PeerRoutes._to_rollouts,
    messages.PoisonNotice: PeerRoutes._to_poison,
    messages.EventsRequest: PeerRoutes._to_events,
    messages.StatusRequest: PeerRoutes._to_status,
}
