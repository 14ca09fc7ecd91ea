"""Handles one request: gets a grant, dispatches, relays the response, retries."""

import asyncio
import enum
import itertools

from lovagepier.entry._events import EventSplitter, EventTooLong
from lovagepier.entry._exclusions import Exclusions
from lovagepier.entry._messages import DispatchRequest, DispatchResult, Granted
from lovagepier.entry._response_notes import ResponseNotes
from lovagepier.entry._target_conn import ConnectFailed, TargetConnectionLost
from lovagepier.entry.call import fingerprint
from lovagepier.errors import ErrorKind, error_spec
from lovagepier.logs import component_logger
from lovagepier.platform import encode_call, relayed_headers, with_last_event_id

__all__ = ["Exchange"]

# Targets that one request may be sent to, including those that do not execute it.
MAX_ATTEMPTS = 5
# Timeout if the caller sets none; the route's own timeout may be shorter.
DEFAULT_TIMEOUT_S = 120.0
# A response sent this long before the deadline still reaches the caller in time.
RESPONSE_MARGIN_S = 0.015
# How long a target may take to respond before another one is requested for a
# retryable call: a multiple of the route's latency objective, within these bounds.
FAILOVER_DELAY_OBJECTIVES = 2.0
MIN_FAILOVER_DELAY_S = 0.4
MAX_FAILOVER_DELAY_S = 2.5
# How long a resumable stream may be silent before another target is requested: a
# multiple of the route's maximum event gap, at least MIN_SILENCE_TIMEOUT_S and at
# most MAX_FAILOVER_DELAY_S.
SILENCE_TIMEOUT_GAPS = 2.0
MIN_SILENCE_TIMEOUT_S = 0.8

# How long a retry waits for the check of a target that lost the call.
CHECK_WAIT_S = 0.05
# Statuses of attempts that may have failed for want of a path to the target.
_LOST_STATUSES = ("vanished", "silent", "late")

_log = component_logger("callers")
_ids = itertools.count(1)


class _Outcome(enum.Enum):
    """Result of one dispatch."""

    COMPLETED = "answered"
    NOT_EXECUTED = "turned away"
    FAILED = "broke"


class _Fallback:
    """A complete error response, sent to the caller if no retry succeeds."""

    __slots__ = ("body", "response")

    def __init__(self, response, body):
        self.response = response
        self.body = body


class Exchange:
    """Serves one call on its caller's connection.

    `frontend` gives access to what all calls share. `_attempts` counts the
    targets that the call was sent to; `_executions` leaves out those that
    stated not to have executed it. `_progress_at` is when the last event of a
    stream was complete.
    """

    __slots__ = (
        "_attempts",
        "_call",
        "_checking",
        "_conn",
        "_cost_charged",
        "_deadline",
        "_excluded",
        "_executions",
        "_fallback",
        "_frontend",
        "_loop",
        "_maybe_executed",
        "_next_grant",
        "_notes",
        "_progress_at",
        "_response_started",
        "_reusable",
        "_splitter",
    )

    def __init__(self, frontend, conn, call):
        self._frontend = frontend
        self._conn = conn
        self._call = call
        self._loop = asyncio.get_running_loop()
        route = call.route
        timeout_s = call.timeout_s if call.timeout_s is not None else DEFAULT_TIMEOUT_S
        if route.timeout_s:
            timeout_s = min(timeout_s, route.timeout_s)
        self._deadline = call.arrived_at + timeout_s
        self._attempts = 0
        self._executions = 0
        self._excluded = Exclusions()
        self._fallback = None
        self._checking = None
        self._cost_charged = False
        self._maybe_executed = False
        self._next_grant = None
        self._notes = ResponseNotes(frontend, call.request_id)
        self._progress_at = 0.0
        self._response_started = False
        self._reusable = False
        self._splitter = EventSplitter(call.last_event_id)

    async def run(self):
        """Serve the call; return whether the caller's connection can be reused."""
        try:
            async with asyncio.timeout_at(self._deadline - RESPONSE_MARGIN_S):
                await self._dispatch_until_done()
        except TimeoutError:
            return self._on_deadline()
        return self._reusable

    async def _dispatch_until_done(self):
        while True:
            decision = self._next_grant or await self._request_decision()
            self._next_grant = None
            if not isinstance(decision, Granted):
                if await self._may_ask_again(decision):
                    continue
                self._end_without_success(decision)
                return
            outcome = await self._dispatch(decision)
            if outcome is _Outcome.COMPLETED:
                return
            if not self._may_retry(outcome):
                self._end_without_success(None)
                return
            if self._checking is not None:
                # The target may be sent the call again if only the path to it broke.
                await asyncio.wait((self._checking,), timeout=CHECK_WAIT_S)
                self._checking = None

    async def _may_ask_again(self, refusal):
        """Return whether targets may be granted that were excluded before."""
        if refusal is None or refusal.kind != ErrorKind.NO_TARGET:
            return False
        return await self._excluded.wait_for_views()

    def _may_retry(self, outcome):
        if self._attempts >= MAX_ATTEMPTS:
            return False
        if outcome is _Outcome.NOT_EXECUTED and not self._response_started:
            return True
        route = self._call.route
        if self._response_started:
            return route.resumable and self._executions < route.max_attempts
        return route.retryable and self._executions < route.max_attempts

    # The coordinator

    async def _request_decision(self):
        """Return the coordinator's decision, or None for a poison request."""
        call = self._call
        route = call.route
        account = call.account
        now = self._loop.time()
        is_first = not self._cost_charged
        self._cost_charged = True
        req = DispatchRequest(
            id=f"{call.request_id}#{next(_ids)}",
            service=route.service_for(call.request_id),
            account=account.name if account else "",
            route=route.name,
            tier=self._frontend.tier_of(call),
            remaining_s=self._deadline - now,
            soft_deadline_s=call.arrived_at + route.latency_objective_s - now,
            prefill_tokens=call.prompt_tokens,
            decode_tokens=call.output_tokens,
            prefix_blocks=[list(part) for part in call.prefix_blocks],
            fingerprint=fingerprint(call),
            zone=self._frontend.cfg.host_zone,
            attempt=self._attempts,
            exclude=self._excluded.names(),
            cost=account.cost(call) if account and is_first else 0.0,
            patience_s=self._patience_left(now),
        )
        if self._frontend.cluster.is_poisoned(req.fingerprint):
            return None
        return await self._frontend.cluster.requests.dispatch(req)

    def _patience_left(self, now):
        """Return the seconds until the caller abandons the call; 0 for no such limit.

        A limit that has passed counts as a moment: the caller is still there.
        """
        route = self._call.route
        if not route.patience_s:
            return 0.0
        since = self._progress_at if self._response_started else self._call.arrived_at
        return max(since + route.patience_s - now, RESPONSE_MARGIN_S)

    def _report_result(
        self, grant, status, started_at, first=None, tokens=0, via="", ended_at=None
    ):
        seconds = (ended_at or self._loop.time()) - started_at
        is_unanswered = status == "cancelled" and not self._response_started
        total = seconds if status == "ok" or is_unanswered else None
        metrics = self._frontend.metrics
        metrics.count(f"dispatch_{status.replace('-', '_')}", self._call.route.tier)
        metrics.time("dispatch", seconds, self._call.route.tier)
        if first is not None:
            metrics.time("first_event", first, self._call.route.tier)
        self._frontend.cluster.requests.report_result(
            DispatchResult(grant.id, grant.target, status, first, total, tokens)
        )
        _log.info(
            "dispatch ended",
            request=self._call.request_id,
            target=grant.target,
            status=status,
            why=grant.why,
            first=first and round(first, 4),
            seconds=round(seconds, 4),
            events=self._splitter.count,
            route=self._call.route.name,
            method=self._call.method,
            attempt=self._attempts,
            waited=round(started_at - self._call.arrived_at, 4),
            via=via,
        )

    # Dispatch to one target

    async def _dispatch(self, grant):
        started_at = self._loop.time()
        target = self._frontend.view.target(grant.target)
        if target is None or target.incarnation != grant.incarnation:
            self._excluded.add_mismatched(grant.target)
            self._report_result(grant, "returned", started_at)
            return _Outcome.NOT_EXECUTED
        if target.draining:
            self._excluded.add(grant.target)
            self._report_result(grant, "returned", started_at)
            return _Outcome.NOT_EXECUTED
        if self._frontend.cluster.statements.is_paused(target):
            return self._return_paused(grant, target, started_at)
        try:
            tconn = await self._connect(target)
        except ConnectFailed as exc:
            # A target that refuses connections is down. The call may wait for it.
            if not exc.refused:
                self._excluded.add(grant.target)
            self._report_result(grant, _connect_status(exc), started_at)
            return _Outcome.NOT_EXECUTED
        except BaseException:
            self._report_result(grant, "returned", started_at)
            raise
        if self._frontend.cluster.statements.is_paused(target):
            tconn.close()
            return self._return_paused(grant, target, started_at)
        return await self._run_attempt(grant, target, tconn)

    def _return_paused(self, grant, target, started_at):
        """Return a grant for a target that wants nothing from this host now."""
        self._excluded.add(grant.target)
        self._frontend.cluster.statements.repeat_pause(target)
        self._report_result(grant, "returned", started_at)
        return _Outcome.NOT_EXECUTED

    async def _connect(self, target):
        if self._call.route.retryable:
            tconn = self._frontend.connector.take_idle(target)
            if tconn is not None:
                return tconn
        # A call that must not run twice gets a new connection: an idle one may hold
        # a late response to another request or be about to be closed by the target.
        return await self._frontend.connector.open(target)

    async def _run_attempt(self, grant, target, tconn):
        started_at = self._loop.time()
        status = "cancelled"
        first = None
        tokens = 0
        self._attempts += 1
        self._excluded.add(grant.target)
        executed_before = self._maybe_executed
        self._maybe_executed = True
        self._executions += 1
        try:
            self._send(tconn, target)
            response = await self._read_head(tconn)
            self._notes.note_leaving(target, tconn)
            self._notes.note_limits(grant, response)
            is_paused = self._notes.note_pause(target, tconn, response)
            if response.not_executed:
                status = "paused" if is_paused else "not-run"
                self._maybe_executed = executed_before
                self._executions -= 1
                if await tconn.discard_body():
                    self._release_connection(target, tconn, response)
                return _Outcome.NOT_EXECUTED
            success = 200 <= response.status < 300
            if success and (not response.signed or response.content_encoded):
                status = "failed"
                return _Outcome.FAILED
            if success and response.event_stream:
                first, outcome = await self._relay(grant, tconn, response, started_at)
                tokens = self._splitter.count * self._frontend.tokens_per_event(target)
                status = "ok"
                self._release_connection(target, tconn, response)
                return outcome
            body = await tconn.read_body()
            tokens = 1
            status = "ok" if response.status < 500 else "failed"
            self._release_connection(target, tconn, response)
            return self._handle_response(response, body)
        except TargetConnectionLost as exc:
            status = "vanished"
            _log.info(
                "a target broke off",
                request=self._call.request_id,
                target=grant.target,
                why=str(exc),
                fingerprint=fingerprint(self._call),
                reused=tconn.requests_served,
            )
            return _Outcome.FAILED
        except _FailedOver:
            status = "silent"
            return _Outcome.FAILED
        except asyncio.CancelledError:
            status = "late" if self._loop.time() >= self._deadline - 0.05 else status
            raise
        finally:
            self._notes.note_leaving(target, tconn)
            if status != "ok" or not tconn.usable:
                tconn.close()
            self._report_attempt(
                grant, target, tconn, status, started_at, first, tokens
            )

    def _report_attempt(self, grant, target, tconn, status, started_at, first, tokens):
        """Report how an attempt ended.

        Whether the target or this host's path to it failed is found out first.
        """
        if status not in _LOST_STATUSES:
            self._report_result(grant, status, started_at, first, tokens, tconn.via)
            return
        ended_at = self._loop.time()
        own_status = "failed" if status == "silent" else status
        checking = self._checking = self._loop.create_future()

        def report(is_broken):
            if is_broken:
                self._excluded.discard(target.id)
            if not checking.done():
                checking.set_result(None)
            self._report_result(
                grant,
                "cut-off" if is_broken else own_status,
                started_at,
                first,
                tokens,
                tconn.via,
                ended_at,
            )

        if not tconn.via and self._frontend.connector.is_broken(target.incarnation):
            report(True)
        elif status == "late":
            report(False)
        else:
            self._frontend.target_checks.start(target, report)

    def _send(self, tconn, target):
        call = self._call
        timeout_s = self._deadline - self._loop.time()
        account = call.account.name if call.account else ""
        pairs = encode_call(call, timeout_s, target.id, account, len(call.body))
        if self._response_started:
            pairs = with_last_event_id(pairs, self._splitter.last_id)
        tconn.send(call.method, call.target, pairs, call.body)

    async def _read_head(self, tconn):
        """Return the response's head; raise `_FailedOver` if another target takes over.

        If the target does not respond in time, another one is requested, but this
        target may still respond until the coordinator grants that.
        """
        route = self._call.route
        reading = self._loop.create_task(tconn.read_head(self._call.request_id))
        try:
            if route.retryable and self._executions < route.max_attempts:
                await asyncio.wait((reading,), timeout=self._failover_delay())
                if not reading.done():
                    await self._request_failover(reading)
            return await reading
        finally:
            reading.cancel()

    def _failover_delay(self):
        delay_s = self._call.route.latency_objective_s * FAILOVER_DELAY_OBJECTIVES
        return min(max(delay_s, MIN_FAILOVER_DELAY_S), MAX_FAILOVER_DELAY_S)

    async def _request_failover(self, reading):
        """Request another target; raise `_FailedOver` if it comes before `reading`."""
        requesting = self._loop.create_task(self._request_decision())
        try:
            await asyncio.wait(
                (reading, requesting), return_when=asyncio.FIRST_COMPLETED
            )
            if requesting.done() and isinstance(requesting.result(), Granted):
                self._next_grant = requesting.result()
                if not reading.done():
                    raise _FailedOver
                self._return_grant()
        finally:
            requesting.cancel()

    def _return_grant(self):
        self._report_result(self._next_grant, "returned", self._loop.time())
        self._next_grant = None

    def _release_connection(self, target, tconn, response):
        if tconn.finish(response):
            self._frontend.target_connections.put_idle(target, tconn)

    def _handle_response(self, response, body):
        """Send a whole response to the caller, or keep an error and retry."""
        if response.status >= 500:
            self._fallback = _Fallback(response, body)
            route = self._call.route
            if route.retryable and self._executions < route.max_attempts:
                return _Outcome.FAILED
        if self._response_started:
            return _Outcome.FAILED
        self._send_to_caller(response, body)
        return _Outcome.COMPLETED

    def _send_to_caller(self, response, body):
        self._response_started = True
        self._reusable = self._conn.send_response(
            response.status, relayed_headers(response), body
        )

    async def _relay(self, grant, tconn, response, started_at):
        """Relay events as they arrive; return (seconds to the first, outcome)."""
        first = None
        if self._response_started:
            self._splitter = EventSplitter(self._splitter.last_id, skip=True)
        self._progress_at = self._loop.time()
        while (data := await self._next_data(tconn)) is not None:
            try:
                events = self._splitter.feed(data)
            except EventTooLong as exc:
                raise TargetConnectionLost(str(exc))
            if not events:
                continue
            self._progress_at = self._loop.time()
            if first is None:
                first = self._loop.time() - started_at
                self._frontend.cluster.requests.first_event(grant.id, first)
            if not self._response_started:
                self._response_started = True
                self._conn.send_head(response.status, relayed_headers(response))
            await self._conn.send_data(events)
        if self._splitter.incomplete:
            raise TargetConnectionLost("the stream ended inside an event")
        if not self._response_started:
            self._response_started = True
            self._conn.send_head(response.status, relayed_headers(response))
        self._reusable = self._conn.end_response()
        return first, _Outcome.COMPLETED

    async def _next_data(self, tconn):
        """Return the next bytes of a stream; raise `_FailedOver` if another takes over.

        If the target completes no event for too long, another one is requested, but
        this target may still continue until the coordinator grants that. Bytes that
        complete no event do not count.
        """
        route = self._call.route
        if not route.resumable or self._executions >= route.max_attempts:
            return await tconn.read_data()
        try:
            silent_at = self._progress_at + self._silence_timeout()
            async with asyncio.timeout_at(silent_at):
                return await tconn.read_data()
        except TimeoutError:
            pass
        _log.info(
            "a stream fell silent",
            request=self._call.request_id,
            last=self._splitter.last_id,
        )
        reading = self._loop.create_task(tconn.read_data())
        try:
            await self._request_failover(reading)
            # The next request for another target waits as long as the first.
            self._progress_at = self._loop.time()
            return await reading
        finally:
            reading.cancel()

    def _silence_timeout(self):
        timeout_s = self._call.route.max_event_gap_s * SILENCE_TIMEOUT_GAPS
        return min(max(timeout_s, MIN_SILENCE_TIMEOUT_S), MAX_FAILOVER_DELAY_S)

    # Final response

    def _end_without_success(self, refusal):
        """Send the final response to a request that no target has completed.

        `refusal` is the coordinator's, None if it gave none. A response that has
        been started is aborted.
        """
        if self._response_started:
            self._conn.abort()
            return
        if self._fallback is not None:
            self._send_to_caller(self._fallback.response, self._fallback.body)
            return
        if self._maybe_executed:
            self._send_error(ErrorKind.ANSWER_LOST)
        elif refusal is None:
            self._send_error(ErrorKind.TARGET_REFUSED)
        else:
            kind = ErrorKind(refusal.kind)
            self._send_error(kind, refusal.retry_after, refusal.why)

    def _on_deadline(self):
        if self._response_started:
            _log.info("response aborted at the deadline", request=self._call.request_id)
            self._conn.abort()
            return False
        if self._fallback is not None:
            self._send_to_caller(self._fallback.response, self._fallback.body)
        elif self._maybe_executed:
            self._send_error(ErrorKind.DEADLINE_RUNNING)
        else:
            self._send_error(ErrorKind.DEADLINE_WAITING)
        return self._reusable

    def _send_error(self, kind, retry_after=None, why=""):
        """Send an error response.

        A status that says that the call was not executed becomes 502 if a target
        may have executed it.
        """
        status = error_spec(kind).status
        if status in (429, 503, 408, 421) and self._maybe_executed:
            status = 502
        self._reusable = self._frontend.send_error(
            self._conn, self._call.request_id, kind, status, retry_after, why
        )


def _connect_status(exc):
    """Return the status of a dispatch whose connection failed."""
    if exc.refused:
        return "unreachable"
    return "returned" if exc.is_unsure else "not-run"


class _FailedOver(Exception):
    """Another target takes over from one that did not respond in time."""
