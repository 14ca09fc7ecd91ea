"""Handles one request: gets a grant, dispatches, relays the response, retries."""

import asyncio
import enum

from lovagepier.entry._callers.call_progress import RESPONSE_MARGIN_S, CallProgress
from lovagepier.entry._callers.caller_response import CallerResponse
from lovagepier.entry._callers.events import NotContinued
from lovagepier.entry._callers.grant_check import GrantCheck
from lovagepier.entry._callers.grants import FailedOver, Grants
from lovagepier.entry._callers.response_notes import ResponseNotes
from lovagepier.entry._callers.stream_relay import (
    MAX_SILENCE_TIMEOUT_S,
    StreamRelay,
)
from lovagepier.entry._cluster.messages import Granted
from lovagepier.entry._targets.conn import TargetConnectionLost
from lovagepier.entry._targets.pool import ConnectFailed
from lovagepier.entry.call import fingerprint
from lovagepier.errors import ErrorKind
from lovagepier.logs import component_logger
from lovagepier.platform import encode_call, with_last_event_id

__all__ = ["Exchange"]

# How long a target may take to respond before another one is requested for a
# retryable call: a multiple of the route's latency objective, within these bounds.
FAILOVER_DELAY_OBJECTIVES = 2.0
MIN_FAILOVER_DELAY_S = 0.4
MAX_FAILOVER_DELAY_S = 2.5

# How long a retry waits for the check of a target that lost the call.
CHECK_WAIT_S = 0.05
# Statuses of attempts that may have failed for want of a path to the target.
_LOST_STATUSES = ("vanished", "silent", "late")

_log = component_logger("callers")


class _Outcome(enum.Enum):
    """Result of one dispatch."""

    COMPLETED = "answered"
    NOT_EXECUTED = "turned away"
    FAILED = "broke"


class Exchange:
    """Serves one call on its caller's connection.

    `frontend` gives access to what all calls share. `is_waiting` tells whether the
    `call` waits for a decision of the coordinator.
    """

    __slots__ = (
        "_caller",
        "_check",
        "_checking",
        "_conn",
        "_frontend",
        "_grants",
        "_loop",
        "_notes",
        "_progress",
        "_reservations",
        "_stop_why",
        "_stream",
        "_timeout",
        "call",
        "is_waiting",
    )

    def __init__(self, frontend, conn, call):
        self._frontend = frontend
        self._conn = conn
        self.call = call
        self.is_waiting = False
        self._loop = asyncio.get_running_loop()
        self._checking = None
        self._notes = ResponseNotes(frontend, call.request_id)
        self._progress = CallProgress(call)
        self._check = GrantCheck(frontend, self._progress)
        self._grants = Grants(frontend, self._progress)
        self._caller = CallerResponse(frontend, conn, self._progress)
        self._stream = StreamRelay(self._progress, self._grants, self._caller)
        self._reservations = []
        self._timeout = None
        self._stop_why = ""

    async def run(self):
        """Serve the call; return whether the caller's connection can be reused."""
        running_calls = self._frontend.running_calls
        ends_at = self._progress.deadline - RESPONSE_MARGIN_S
        try:
            try:
                async with asyncio.timeout_at(ends_at) as self._timeout:
                    running_calls.add(self)
                    await self._dispatch_until_done()
            except TimeoutError:
                if self._stop_why:
                    self._caller.end_at_stop(self._stop_why)
                else:
                    self._caller.end_at_deadline()
            finally:
                running_calls.discard(self)
                self._grants.return_unused()
            if self._conn.is_backed_up:
                await self._conn.flush()
        finally:
            # A failure's body may have been kept for the caller until now, and a
            # response until the caller has taken it.
            for reservation in self._reservations:
                reservation.release()
        return self._caller.is_reusable

    def end_by(self, ends_at, why):
        """End the call with a response at loop time `ends_at`, if not sooner."""
        if not self._timeout.expired() and ends_at < self._timeout.when():
            self._stop_why = why
            self._timeout.reschedule(ends_at)

    async def _dispatch_until_done(self):
        while True:
            decision = await self._next_decision()
            if not isinstance(decision, Granted):
                if await self._may_ask_again(decision):
                    continue
                self._caller.end_without_success(decision)
                return
            if not self._may_begin():
                self._grants.report(decision, "returned", self._loop.time())
                self._caller.end_at_stop("it would outlast the stop of the host")
                return
            outcome = await self._dispatch(decision)
            if outcome is _Outcome.COMPLETED:
                return
            if not self._progress.may_retry(outcome is _Outcome.NOT_EXECUTED):
                self._caller.end_without_success(None)
                return
            if self._checking is not None:
                # The target may be sent the call again if only the path to it broke.
                await asyncio.wait((self._checking,), timeout=CHECK_WAIT_S)
                self._checking = None

    async def _next_decision(self):
        self.is_waiting = not self._progress.response_started
        try:
            decision = await self._grants.next_decision()
        finally:
            self.is_waiting = False
        if isinstance(decision, Granted):
            starts = self._frontend.running_calls.starts
            starts.add(self.call.kind[0], self._loop.time())
        return decision

    @property
    def precedence(self):
        """The order in which waiting calls are served, the next one first."""
        return self._frontend.tier_of(self.call), self._progress.deadline

    def _may_begin(self):
        """Return whether a dispatch can end before the stop of this host does.

        A stream that has begun goes on as far as it can.
        """
        if self._progress.response_started:
            return True
        return self._frontend.can_complete(self.call)

    async def _may_ask_again(self, refusal):
        """Return whether targets may be granted that were excluded before."""
        kinds = (ErrorKind.NO_TARGET, ErrorKind.RESIDENCE)
        if refusal is None or refusal.kind not in kinds:
            return False
        return await self._progress.excluded.wait_for_views()

    # Dispatch to one target

    async def _dispatch(self, grant):
        started_at = self._loop.time()
        target = self._frontend.view.target(grant.target)
        if not self._check.may_connect(grant, target):
            return self._return(grant, started_at)
        try:
            tconn = await self._connect(target)
        except ConnectFailed as exc:
            # A target that refuses connections is down. The call may wait for it.
            if not exc.refused:
                self._progress.excluded.add(grant.target)
            self._grants.report(grant, _connect_status(exc), started_at)
            return _Outcome.NOT_EXECUTED
        except BaseException:
            self._grants.report(grant, "returned", started_at)
            raise
        now = self._loop.time()
        if not self._check.may_send(grant, target, now - started_at, now):
            tconn.close()
            return self._return(grant, started_at)
        return await self._run_attempt(grant, target, tconn)

    def _return(self, grant, started_at):
        self._grants.report(grant, "returned", started_at)
        return _Outcome.NOT_EXECUTED

    async def _connect(self, target):
        if self.call.route.retryable:
            tconn = self._frontend.connector.take_idle(target, self.call.request_id)
            if tconn is not None:
                return tconn
        # A call that must not run twice gets a new connection: an idle one may hold
        # a late response to another request or be about to be closed by the target.
        if regions := self._frontend.residence.regions(self.call):
            return await self._frontend.connector.open(target, regions)
        return await self._frontend.connector.open(target)

    async def _run_attempt(self, grant, target, tconn):
        started_at = self._loop.time()
        reservation = self._frontend.body_memory.reservation(
            target.incarnation, self.call.request_id
        )
        self._reservations.append(reservation)
        status = "cancelled"
        first = None
        tokens = 0
        self._progress.attempts += 1
        self._progress.excluded.add(grant.target)
        executed_before = self._progress.maybe_executed
        executions_before = self._progress.executions
        self._progress.maybe_executed = True
        self._progress.executions += 1
        try:
            self._send(tconn, target)
            response = await self._read_head(tconn)
            if response.has_two_seals:
                raise TargetConnectionLost("a head with two seals")
            self._notes.note_leaving(target, tconn)
            self._notes.note_limits(grant, response)
            is_paused = self._notes.note_pause(target, tconn, response)
            if response.not_executed:
                status = "paused" if is_paused else "not-run"
                self._progress.maybe_executed = executed_before
                self._progress.executions = executions_before
                if await tconn.discard_body():
                    self._release_connection(target, tconn, response)
                return _Outcome.NOT_EXECUTED
            if self._progress.response_started and not _is_stream(response):
                status = "failed"
                return self._reject(grant, f"status {response.status}")
            success = 200 <= response.status < 300
            if success and (not response.signed or response.content_encoded):
                status = "failed"
                return _Outcome.FAILED
            if success and response.event_stream:
                first = await self._stream.run(
                    grant, tconn, response, reservation, started_at
                )
                tokens = self._progress.events * self._frontend.tokens_per_event(target)
                status = "ok"
                self._release_connection(target, tconn, response)
                return _Outcome.COMPLETED
            body = await tconn.read_body(reservation)
            tokens = 1
            status = "ok" if response.status < 500 else "failed"
            self._release_connection(target, tconn, response)
            return self._handle_response(response, body)
        except TargetConnectionLost as exc:
            status = "vanished"
            reservation.release()
            # Also if it had stated before that it did not.
            self._progress.maybe_executed = True
            self._progress.executions = executions_before + 1
            _log.info(
                "a target broke off",
                request=self.call.request_id,
                target=grant.target,
                why=str(exc),
                fingerprint=fingerprint(self.call),
                reused=tconn.requests_served,
            )
            return _Outcome.FAILED
        except NotContinued as exc:
            status = "failed"
            return self._reject(grant, str(exc))
        except FailedOver:
            status = "silent"
            return _Outcome.FAILED
        except asyncio.CancelledError:
            if self._loop.time() >= self._progress.deadline - 0.05:
                status = self._late_status(grant, tconn, reservation)
            raise
        finally:
            self._notes.note_leaving(target, tconn)
            if status != "ok" or not tconn.usable:
                tconn.close()
            self._report_attempt(
                grant, target, tconn, status, started_at, first, tokens
            )

    def _late_status(self, grant, tconn, reservation):
        """Return the status of an attempt that lasted until the deadline.

        A target whose response goes on without an end has failed, unless this host or
        the caller kept it waiting.
        """
        now = self._loop.time()
        progressed = self._progress.events and (
            now - self._progress.progress_at < MAX_SILENCE_TIMEOUT_S
        )
        if progressed or reservation.has_waited or not tconn.is_sending(now):
            return "late"
        _log.info(
            "a target was still sending its response at the deadline",
            request=self.call.request_id,
            target=grant.target,
        )
        return "failed"

    def _reject(self, grant, why):
        """Log that a target does not go on with a stream that has begun."""
        _log.info(
            "a target did not continue a stream",
            request=self.call.request_id,
            target=grant.target,
            last=self._stream.last_id,
            why=why,
        )
        return _Outcome.FAILED

    def _report_attempt(self, grant, target, tconn, status, started_at, first, tokens):
        """Report how an attempt ended.

        Whether the target or this host's path to it failed is found out first.
        """
        if status not in _LOST_STATUSES:
            self._grants.report(grant, status, started_at, first, tokens, tconn.via)
            return
        ended_at = self._loop.time()
        own_status = "failed" if status == "silent" else status
        checking = self._checking = self._loop.create_future()

        def report(is_broken):
            if is_broken:
                self._progress.excluded.discard(target.id)
            if not checking.done():
                checking.set_result(None)
            self._grants.report(
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
        call = self.call
        timeout_s = self._progress.deadline - self._loop.time()
        account = call.account.name if call.account else ""
        pairs = encode_call(call, timeout_s, target.id, account, len(call.body))
        if self._progress.response_started and self._stream.last_id:
            pairs = with_last_event_id(pairs, self._stream.last_id)
        tconn.send(call.method, call.target, pairs, call.body)

    async def _read_head(self, tconn):
        """Return the response's head; raise `FailedOver` if another target takes over.

        If the target does not respond in time, another one is requested, but this
        target may still respond until the coordinator grants that.
        """
        route = self.call.route
        reading = self._loop.create_task(tconn.read_head(self.call.request_id))
        try:
            if route.retryable and self._progress.may_execute_again:
                await asyncio.wait((reading,), timeout=self._failover_delay())
                if not reading.done():
                    await self._grants.request_failover(reading)
            return await reading
        finally:
            reading.cancel()

    def _failover_delay(self):
        delay_s = self.call.route.latency_objective_s * FAILOVER_DELAY_OBJECTIVES
        return min(max(delay_s, MIN_FAILOVER_DELAY_S), MAX_FAILOVER_DELAY_S)

    def _release_connection(self, target, tconn, response):
        if tconn.finish(response):
            self._frontend.target_connections.put_idle(target, tconn)

    def _handle_response(self, response, body):
        """Send a whole response to the caller, or keep an error and retry."""
        if response.status >= 500:
            self._caller.keep_fallback(response, body)
            if self.call.route.retryable and self._progress.may_execute_again:
                return _Outcome.FAILED
        self._caller.send_whole(response, body)
        return _Outcome.COMPLETED


def _is_stream(response):
    """Return whether a response can be the continuation of a stream."""
    return response.status == 200 and response.event_stream


def _connect_status(exc):
    """Return the status of a dispatch whose connection failed."""
    if exc.refused:
        return "unreachable"
    return "returned" if exc.is_unsure else "not-run"
