"""One request from its head to its last byte: ask, dispatch, relay, try again."""

import asyncio
import enum
import itertools

from lovagepier.entry._events import EventSplitter
from lovagepier.entry._messages import Ask, Done, Granted
from lovagepier.entry._target_conn import ConnectFailed, TargetConnectionLost
from lovagepier.entry.call import fingerprint
from lovagepier.errors import ErrorKind, error_spec
from lovagepier.logs import component_logger
from lovagepier.platform import encode_call, relayed_headers, with_last_event_id

__all__ = ["Exchange"]

# Targets that one request may be offered to, those that turn it away included.
MAX_OFFERS = 5
# A caller waits as long as its route allows if it doesn't say.
LONGEST_S = 120.0
# An answer sent this long before the deadline still reaches the caller.
ANSWER_MARGIN_S = 0.015
# A target that may be replaced is given this many latency objectives to begin,
# within these bounds.
PATIENCE_AIMS = 2.0
PATIENCE_LEAST_S = 0.4
PATIENCE_MOST_S = 2.5
# A stream that may go on elsewhere is silent for so many of the longest pauses that
# are on time, and for this at the least, before another target is asked for.
PATIENCE_GAPS = 2.0
MIN_SILENCE_TIMEOUT_S = 0.8

_log = component_logger("callers")
_ids = itertools.count(1)


class _Step(enum.Enum):
    """What one dispatch led to."""

    ANSWERED = "answered"
    TURNED_AWAY = "turned away"
    BROKE = "broke"


class _Held:
    """A target's whole answer that is passed on if no better one comes."""

    __slots__ = ("answer", "body")

    def __init__(self, answer, body):
        self.answer = answer
        self.body = body


class Exchange:
    """Serves one call over one caller connection."""

    __slots__ = (
        "_answer_begun",
        "_asked",
        "_call",
        "_conn",
        "_deadline",
        "_exclude",
        "_held",
        "_host",
        "_loop",
        "_maybe_ran",
        "_next",
        "_offers",
        "_reusable",
        "_runs",
        "_splitter",
    )

    def __init__(self, host, conn, call):
        self._host = host
        self._conn = conn
        self._call = call
        self._loop = asyncio.get_running_loop()
        route = call.route
        patience = call.patience_s if call.patience_s is not None else LONGEST_S
        if route.timeout_s:
            patience = min(patience, route.timeout_s)
        self._deadline = call.arrived + patience
        self._offers = 0
        self._runs = 0
        self._exclude = set()
        self._held = None
        self._asked = False
        self._maybe_ran = False
        self._next = None
        self._answer_begun = False
        self._reusable = False
        self._splitter = EventSplitter(call.position)

    async def run(self):
        """Serve the call; return whether the caller's connection goes on."""
        try:
            async with asyncio.timeout_at(self._deadline - ANSWER_MARGIN_S):
                await self._offer_until_answered()
        except TimeoutError:
            return self._out_of_time()
        return self._reusable

    async def _offer_until_answered(self):
        while True:
            answer = self._next or await self._ask()
            self._next = None
            if not isinstance(answer, Granted):
                self._give_up(answer)
                return
            step = await self._dispatch(answer)
            if step is _Step.ANSWERED:
                return
            if not self._may_go_on(step):
                self._give_up(None)
                return

    def _may_go_on(self, step):
        if self._offers >= MAX_OFFERS:
            return False
        if step is _Step.TURNED_AWAY and not self._answer_begun:
            return True
        route = self._call.route
        if self._answer_begun:
            return route.resumes and self._runs < route.max_attempts
        return route.repeatable and self._runs < route.max_attempts

    # The home

    async def _ask(self):
        call = self._call
        route = call.route
        account = call.account
        now = self._loop.time()
        first = not self._asked
        self._asked = True
        ask = Ask(
            id=f"{call.request_id}#{next(_ids)}",
            service=route.service_for(call.request_id),
            account=account.name if account else "",
            route=route.name,
            tier=self._host.tier_of(call),
            left=self._deadline - now,
            aim=call.arrived + route.aim_s - now,
            prefill=call.prompt_tokens,
            decode=call.tokens_out,
            parts=[list(part) for part in call.parts],
            fingerprint=fingerprint(call),
            zone=self._host.cfg.host_zone,
            attempt=self._offers,
            exclude=sorted(self._exclude),
            cost=account.cost(call) if account and first else 0.0,
        )
        if self._host.cluster.is_condemned(ask.fingerprint):
            return None
        return await self._host.cluster.ask(ask)

    def _tell(self, grant, status, began, first=None, tokens=0):
        seconds = self._loop.time() - began
        total = seconds if status == "ok" else None
        metrics = self._host.metrics
        metrics.count(f"dispatch_{status.replace('-', '_')}", self._call.route.tier)
        metrics.time("dispatch", seconds, self._call.route.tier)
        if first is not None:
            metrics.time("first_event", first, self._call.route.tier)
        self._host.cluster.done(
            Done(grant.id, grant.target, status, first, total, tokens)
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
            attempt=self._offers,
            waited=round(began - self._call.arrived, 4),
        )

    # One target

    async def _dispatch(self, grant):
        began = self._loop.time()
        target = self._host.view.target(grant.target)
        if target is None or target.draining or target.life != grant.life:
            self._exclude.add(grant.target)
            self._tell(grant, "returned", began)
            return _Step.TURNED_AWAY
        try:
            tconn = await self._connect(target)
        except ConnectFailed as exc:
            self._exclude.add(grant.target)
            refused = "Refused" in str(exc)
            self._tell(grant, "died" if refused else "not-run", began)
            return _Step.TURNED_AWAY
        except BaseException:
            self._tell(grant, "returned", began)
            raise
        return await self._exchange(grant, target, tconn)

    async def _connect(self, target):
        if self._call.route.repeatable:
            tconn = self._host.connections.idle(target)
            if tconn is not None:
                return tconn
        # What may run only once gets a connection that no other answer and no
        # silent close of the target's can be on.
        return await self._host.connections.open(target)

    async def _exchange(self, grant, target, tconn):
        began = self._loop.time()
        status = "cancelled"
        first = None
        tokens = 0
        self._offers += 1
        self._exclude.add(grant.target)
        ran_before = self._maybe_ran
        self._maybe_ran = True
        self._runs += 1
        try:
            self._send(tconn, target)
            answer = await self._read_head(tconn)
            if answer.not_run:
                status = "not-run"
                self._maybe_ran = ran_before
                self._runs -= 1
                await self._drop_body(tconn, answer, target)
                return _Step.TURNED_AWAY
            good = 200 <= answer.status < 300
            if good and (not answer.signed or answer.encoded):
                status = "failed"
                return _Step.BROKE
            if good and answer.events:
                first, step = await self._relay(grant, tconn, answer, began)
                tokens = self._splitter.count * self._host.event_tokens(target)
                status = "ok"
                self._keep(target, tconn, answer)
                return step
            body = await self._read_body(tconn)
            tokens = 1
            status = "ok" if answer.status < 500 else "failed"
            self._keep(target, tconn, answer)
            return self._take_whole(answer, body)
        except TargetConnectionLost as exc:
            status = "vanished"
            _log.info(
                "a target broke off",
                request=self._call.request_id,
                target=grant.target,
                why=str(exc),
                reused=tconn.served,
            )
            return _Step.BROKE
        except _Replaced:
            status = "failed"
            return _Step.BROKE
        except asyncio.CancelledError:
            status = "late" if self._loop.time() >= self._deadline - 0.05 else status
            raise
        finally:
            if status != "ok" or not tconn.usable:
                tconn.close()
            self._tell(grant, status, began, first, tokens)

    def _send(self, tconn, target):
        call = self._call
        left = self._deadline - self._loop.time()
        account = call.account.name if call.account else ""
        pairs = encode_call(call, left, target.id, account, len(call.body))
        if self._answer_begun:
            pairs = with_last_event_id(pairs, self._splitter.last_id)
        tconn.send(call.method, call.target, pairs, call.body)

    async def _read_head(self, tconn):
        """Return the answer's head; raise `_Replaced` if another target takes over.

        A target that is silent for long keeps the request until the home has
        another one for it.
        """
        route = self._call.route
        reading = self._loop.create_task(tconn.read_head(self._call.request_id))
        try:
            if route.repeatable and self._runs < route.max_attempts:
                await asyncio.wait((reading,), timeout=self._patience())
                if not reading.done():
                    await self._look_elsewhere(reading)
            return await reading
        finally:
            reading.cancel()

    def _patience(self):
        aims = self._call.route.aim_s * PATIENCE_AIMS
        return min(max(aims, PATIENCE_LEAST_S), PATIENCE_MOST_S)

    async def _look_elsewhere(self, reading):
        asking = self._loop.create_task(self._ask())
        try:
            await asyncio.wait((reading, asking), return_when=asyncio.FIRST_COMPLETED)
            if asking.done() and isinstance(asking.result(), Granted):
                self._next = asking.result()
                if not reading.done():
                    raise _Replaced
                self._return_next()
        finally:
            asking.cancel()

    def _return_next(self):
        self._tell(self._next, "returned", self._loop.time())
        self._next = None

    async def _read_body(self, tconn):
        parts = []
        while (data := await tconn.read_data()) is not None:
            parts.append(data)
        return b"".join(parts)

    async def _drop_body(self, tconn, answer, target):
        await self._read_body(tconn)
        self._keep(target, tconn, answer)

    def _keep(self, target, tconn, answer):
        if tconn.rest(answer):
            self._host.connections.give_back(target, tconn)

    def _take_whole(self, answer, body):
        """Pass a whole answer on, or hold a failure that may be bettered."""
        if answer.status >= 500:
            self._held = _Held(answer, body)
            route = self._call.route
            if route.repeatable and self._runs < route.max_attempts:
                return _Step.BROKE
        if self._answer_begun:
            return _Step.BROKE
        self._pass_on(answer, body)
        return _Step.ANSWERED

    def _pass_on(self, answer, body):
        self._answer_begun = True
        self._reusable = self._conn.send_whole(
            answer.status, relayed_headers(answer), body
        )

    async def _relay(self, grant, tconn, answer, began):
        """Pass events on as they come; return (seconds to the first, step)."""
        first = None
        if self._answer_begun:
            self._splitter = EventSplitter(self._splitter.last_id, skip=True)
        while (data := await self._next_data(tconn)) is not None:
            events = self._splitter.feed(data)
            if not events:
                continue
            if first is None:
                first = self._loop.time() - began
                self._host.cluster.first(grant.id, first)
            if not self._answer_begun:
                self._answer_begun = True
                self._conn.send_head(answer.status, relayed_headers(answer))
            await self._conn.send_data(events)
        if self._splitter.rest:
            raise TargetConnectionLost("the stream ended inside an event")
        if not self._answer_begun:
            self._answer_begun = True
            self._conn.send_head(answer.status, relayed_headers(answer))
        self._reusable = self._conn.end()
        return first, _Step.ANSWERED

    async def _next_data(self, tconn):
        """Return the next bytes of a stream; raise `_Replaced` if another takes over.

        A target that falls silent keeps its stream until the home has another
        one for it.
        """
        route = self._call.route
        if not route.resumes or self._runs >= route.max_attempts:
            return await tconn.read_data()
        try:
            async with asyncio.timeout(self._longest_pause()):
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
            await self._look_elsewhere(reading)
            return await reading
        finally:
            reading.cancel()

    def _longest_pause(self):
        pause = self._call.route.gap_s * PATIENCE_GAPS
        return min(max(pause, MIN_SILENCE_TIMEOUT_S), PATIENCE_MOST_S)

    # The end

    def _give_up(self, refused):
        """Give the final answer of a request that no target answered well."""
        if self._answer_begun:
            self._conn.abort()
            return
        if self._held is not None:
            self._pass_on(self._held.answer, self._held.body)
            return
        if self._maybe_ran:
            self._fail(ErrorKind.ANSWER_LOST)
        elif refused is None:
            self._fail(ErrorKind.TARGET_REFUSED)
        else:
            kind = ErrorKind(refused.kind)
            self._fail(kind, refused.retry_after, refused.why)

    def _out_of_time(self):
        if self._answer_begun:
            _log.info("cut at its deadline", request=self._call.request_id)
            self._conn.abort()
            return False
        if self._held is not None:
            self._pass_on(self._held.answer, self._held.body)
        elif self._maybe_ran:
            self._fail(ErrorKind.DEADLINE_RUNNING)
        else:
            self._fail(ErrorKind.DEADLINE_WAITING)
        return self._reusable

    def _fail(self, kind, retry_after=None, why=""):
        status = error_spec(kind).status
        if status in (429, 503, 408, 421) and self._maybe_ran:
            status = 502
        self._reusable = self._host.refuse(
            self._conn, self._call.request_id, kind, status, retry_after, why
        )


class _Replaced(Exception):
    """Another target takes over from one that did not begin in time."""
