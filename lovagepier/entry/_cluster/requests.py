"""This host's own requests to the coordinator: waiting for a decision, and running."""

import asyncio

from lovagepier.entry._cluster.messages import (
    DispatchResult,
    FirstEvent,
    Granted,
    Withdraw,
)
from lovagepier.frames import field_values

__all__ = ["Requests"]


class _Waiting:
    __slots__ = ("fut", "req")

    def __init__(self, req, fut):
        self.req = req
        self.fut = fut


class Requests:
    """Requests of this host, sent again to each new coordinator until it decides.

    `send(message)` sends a message to the coordinator in use; without one, requests
    are sent by `resend_all` once one is chosen.
    """

    def __init__(self, send):
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._waiting = {}
        self._deferred = set()
        self._running = {}

    async def dispatch(self, req):
        """Return `Granted` or `Refused` for a `DispatchRequest`.

        Waits until the coordinator answers; the caller sets a timeout. If the wait
        is cancelled, the request is withdrawn, and a grant that has come is given
        back unused.
        """
        fut = self._loop.create_future()
        self._waiting[req.id] = _Waiting(req, fut)
        try:
            self._send(req)
            answer = await fut
        except asyncio.CancelledError:
            self._send(Withdraw(req.id))
            if fut.done() and not fut.cancelled() and isinstance(fut.result(), Granted):
                self._return_grant(fut.result())
            raise
        finally:
            self._waiting.pop(req.id, None)
        if isinstance(answer, Granted):
            self._running[req.id] = (req, answer.target)
        return answer

    def _return_grant(self, grant):
        self._send(DispatchResult(grant.id, grant.target, "returned", None, None, 0))

    def first_event(self, request_id, seconds):
        """Report that the first event of a response came `seconds` after dispatch."""
        self._send(FirstEvent(request_id, seconds))

    def report_result(self, result):
        """Report the `DispatchResult` of a granted request."""
        self._running.pop(result.id, None)
        self._send(result)

    def report_target_down(self, message):
        """Report a `TargetDown`."""
        self._send(message)

    def on_answer(self, message):
        """Hand a `Granted` or `Refused` to the request that waits for it."""
        waiting = self._waiting.get(message.id)
        if waiting is not None and not waiting.fut.done():
            waiting.fut.set_result(message)
        elif isinstance(message, Granted) and message.id not in self._running:
            # The request was withdrawn, or another coordinator granted it first.
            self._return_grant(message)

    def defer(self, request_id, until):
        """Put a request off until `resend_deferred`, or until a loop time at most.

        Return whether it waits for a decision at all.
        """
        if request_id not in self._waiting:
            return False
        if not self._deferred:
            self._loop.call_at(until, self.resend_deferred)
        self._deferred.add(request_id)
        return True

    def resend_deferred(self):
        """Send the requests that were put off again."""
        deferred, self._deferred = self._deferred, set()
        self._resend(deferred)

    def resend_all(self):
        """Send all requests that wait for a decision, as to a new coordinator."""
        self._deferred.clear()
        self._resend(self._waiting)

    def _resend(self, request_ids):
        for request_id in list(request_ids):
            waiting = self._waiting.get(request_id)
            if waiting is not None and not waiting.fut.done():
                self._send(waiting.req)

    def running_rows(self):
        """Return the `running` rows of a `RunningReport`."""
        return [[field_values(req), target] for req, target in self._running.values()]
