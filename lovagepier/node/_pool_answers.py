"""The answers of a pool's coordinator to requests for permits."""

from lovagepier.decisions.placement.work import Grant, Join
from lovagepier.peers import messages

__all__ = ["PoolAnswers", "redirection"]


def redirection(request_id, nonce, coordinator):
    """Return the answer that another node is the pool's coordinator."""
    return messages.PermitResponse("moved", request_id, nonce, why=coordinator)


class PoolAnswers:
    """Turns decisions into answers, with an event in the time line for each.

    `epoch` is that of the coordinator. `counts` are the decisions by kind.
    """

    __slots__ = ("_epoch", "_node", "counts")

    def __init__(self, node, epoch):
        self._node = node
        self._epoch = epoch
        self.counts = {"granted": 0, "refused": 0, "joined": 0}

    def decision(self, decision):
        """Return the answer for a `Grant`, `Join` or `Refusal`."""
        if isinstance(decision, Grant):
            return self._grant(decision)
        if isinstance(decision, Join):
            return self._join(decision)
        return self.refusal(decision)

    def _grant(self, grant):
        self.counts["granted"] += 1
        work = grant.work
        waited = self._node.clock() - work.arrived
        self._add_event(
            work,
            "granted",
            grant.why,
            target=grant.target,
            version=grant.version,
            waited_ms=round(waited * 1000, 1),
        )
        return messages.PermitResponse(
            "grant",
            work.id,
            target=grant.target,
            version=grant.version,
            epoch=self._epoch,
        )

    def _join(self, join):
        self.counts["joined"] += 1
        self._add_event(join.work, "joined", "the id was dispatched before")
        return messages.PermitResponse(
            "join",
            join.work.id,
            target=join.target,
            epoch=self._epoch,
            finished=join.finished,
        )

    def refusal(self, refusal):
        """Return the answer for a `Refusal`."""
        self.counts["refused"] += 1
        work = refusal.work
        self._add_event(work, f"refused: {refusal.kind}", refusal.why, tier=work.tier)
        return messages.PermitResponse(
            "refuse",
            work.id,
            work.nonce,
            kind=str(refusal.kind),
            why=refusal.why,
            retry_after=refusal.retry_after,
        )

    def _add_event(self, work, event, why, **facts):
        self._node.timeline.add("pool", event, why=why, request=work.id, **facts)
