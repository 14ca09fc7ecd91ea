"""Grants for one call: requested from the coordinator, reported and returned."""

import asyncio
import itertools

from lovagepier.decisions.placement.residence import NOWHERE, why_nowhere
from lovagepier.entry._cluster.messages import (
    DispatchRequest,
    DispatchResult,
    Granted,
    Refused,
)
from lovagepier.entry.call import fingerprint
from lovagepier.errors import ErrorKind
from lovagepier.logs import component_logger

__all__ = ["FailedOver", "Grants", "dispatch_request"]

_log = component_logger("callers")
_ids = itertools.count(1)


def dispatch_request(frontend, progress, dispatch_id, charges, now):
    """Return the `DispatchRequest` for the next dispatch of a call.

    `charges` tells whether its cost counts against its account's quota.
    """
    call = progress.call
    route = call.route
    account = call.account
    return DispatchRequest(
        id=dispatch_id,
        service=route.service_for(call.request_id),
        account=account.name if account else "",
        route=route.name,
        tier=frontend.tier_of(call),
        remaining_s=progress.deadline - now,
        soft_deadline_s=call.arrived_at + route.latency_objective_s - now,
        prefill_tokens=call.prompt_tokens,
        decode_tokens=call.output_tokens,
        prefix_blocks=[list(part) for part in call.prefix_blocks],
        fingerprint=fingerprint(call),
        zone=frontend.cfg.host_zone,
        attempt=progress.attempts,
        exclude=progress.excluded.names(),
        cost=account.cost(call) if account and charges else 0.0,
        patience_s=progress.patience_left(now),
        regions=list(frontend.residence.regions(call)),
    )


class FailedOver(Exception):
    """Another target takes over from one that did not respond in time."""


class Grants:
    """Requests the coordinator's decisions on one call.

    `frontend` gives access to what all calls share, `progress` is the call's
    `CallProgress`.
    """

    __slots__ = ("_cost_charged", "_frontend", "_loop", "_next", "_progress")

    def __init__(self, frontend, progress):
        self._frontend = frontend
        self._progress = progress
        self._loop = asyncio.get_running_loop()
        self._cost_charged = False
        self._next = None

    async def next_decision(self):
        """Return the decision on the next dispatch: `Granted` or `Refused`."""
        decision = self._next or await self._request()
        self._next = None
        return decision

    async def _request(self):
        is_first = not self._cost_charged
        self._cost_charged = True
        req = dispatch_request(
            self._frontend,
            self._progress,
            f"{self._progress.call.request_id}#{next(_ids)}",
            is_first,
            self._loop.time(),
        )
        if tuple(req.regions) == NOWHERE:
            return Refused(req.id, ErrorKind.RESIDENCE, why_nowhere(NOWHERE), 1.0)
        if self._frontend.cluster.is_poisoned(req.fingerprint):
            why = "targets died each time this body ran"
            return Refused(req.id, ErrorKind.SUSPECT_REQUEST, why, 0.0)
        return await self._frontend.cluster.requests.dispatch(req)

    async def request_failover(self, reading):
        """Request another target; raise `FailedOver` if it comes before `reading`."""
        requesting = self._loop.create_task(self._request())
        try:
            await asyncio.wait(
                (reading, requesting), return_when=asyncio.FIRST_COMPLETED
            )
            decision = requesting.result() if requesting.done() else None
            if isinstance(decision, Granted) and not reading.done():
                self._next = decision
                raise FailedOver
        finally:
            self._withdraw(requesting)

    def _withdraw(self, requesting):
        """End a request for another target; return its grant if that isn't used."""
        if not requesting.done():
            requesting.cancel()
        elif not requesting.cancelled() and requesting.exception() is None:
            grant = requesting.result()
            if isinstance(grant, Granted) and grant is not self._next:
                self._return(grant)

    def return_unused(self):
        """Return the grant of a target that the call has not been sent to."""
        if self._next is not None:
            self._return(self._next)
            self._next = None

    def _return(self, grant):
        self.report(grant, "returned", self._loop.time())

    def report_first_event(self, grant, seconds):
        """Report that the first event came `seconds` after the dispatch."""
        self._frontend.cluster.requests.first_event(grant.id, seconds)

    def report(
        self, grant, status, started_at, first=None, tokens=0, via="", ended_at=None
    ):
        """Report how the dispatch of a grant ended.

        `first` are the seconds to the first event, None if there was none. `via` is
        the host that the connection went through, empty if it was direct.
        """
        progress = self._progress
        tier = progress.route.tier
        seconds = (ended_at or self._loop.time()) - started_at
        is_unanswered = status == "cancelled" and not progress.response_started
        total = seconds if status == "ok" or is_unanswered else None
        if status == "ok":
            call = progress.call
            self._frontend.durations.learn(call.kind, call.size, seconds)
        metrics = self._frontend.metrics
        metrics.count(f"dispatch_{status.replace('-', '_')}", tier)
        metrics.time("dispatch", seconds, tier)
        if first is not None:
            metrics.time("first_event", first, tier)
        self._frontend.cluster.requests.report_result(
            DispatchResult(grant.id, grant.target, status, first, total, tokens)
        )
        _log.info(
            "dispatch ended",
            request=progress.call.request_id,
            target=grant.target,
            status=status,
            why=grant.why,
            first=first and round(first, 4),
            seconds=round(seconds, 4),
            events=progress.events,
            route=progress.route.name,
            method=progress.call.method,
            attempt=progress.attempts,
            waited=round(started_at - progress.call.arrived_at, 4),
            via=via,
        )
