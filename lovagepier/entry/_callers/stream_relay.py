"""Relays the event streams of targets to the caller as one stream."""

import asyncio

from lovagepier.entry._callers.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLong,
    EventTruncated,
)
from lovagepier.entry._targets.body_memory import FREE_BYTES
from lovagepier.entry._targets.conn import TargetConnectionLost
from lovagepier.logs import component_logger

__all__ = ["MAX_SILENCE_TIMEOUT_S", "StreamRelay"]

# How long a resumable stream may be silent before another target is requested: a
# multiple of the route's maximum event gap, within these bounds.
SILENCE_TIMEOUT_GAPS = 2.0
MIN_SILENCE_TIMEOUT_S = 0.8
MAX_SILENCE_TIMEOUT_S = 2.5

_log = component_logger("callers")


class StreamRelay:
    """Relays whole events; a further target's stream goes on after the last one.

    `progress` is the call's `CallProgress`, `grants` its `Grants`, `caller` its
    `CallerResponse`.
    """

    __slots__ = ("_caller", "_grants", "_loop", "_progress", "_splitter")

    def __init__(self, progress, grants, caller):
        self._progress = progress
        self._grants = grants
        self._caller = caller
        self._loop = asyncio.get_running_loop()
        self._splitter = EventSplitter(progress.call.last_event_id)

    @property
    def last_id(self):
        """The id of the last event that was relayed, empty if there was none."""
        return self._splitter.last_id

    async def run(self, grant, tconn, response, reservation, started_at):
        """Relay a target's stream to its end; return the seconds to its first event.

        A long event is read on once the `Reservation` covers it.
        Raise `TargetConnectionLost` if it broke off, `FailedOver` if another target
        takes over and `NotContinued` if it does not go on after the last event.
        """
        progress = self._progress
        # Bytes of an event that another target broke off in are dropped.
        self._splitter = EventSplitter(
            self._splitter.last_id, progress.response_started, self._splitter.step
        )
        progress.events = 0
        first = None
        progress.progress_at = self._loop.time()
        has_ended = False
        while not has_ended:
            data = await self._next_data(tconn)
            has_ended = data is None
            passed = self._splitter.count
            events = self._split(data)
            if self._splitter.count > passed:
                progress.progress_at = self._loop.time()
                if first is None:
                    first = self._loop.time() - started_at
                    self._grants.report_first_event(grant, first)
            if events:
                self._caller.start_stream(response)
                await self._caller.send_events(events)
            if self._splitter.fault:
                raise TargetConnectionLost(self._splitter.fault)
            if len(self._splitter.incomplete) > FREE_BYTES:
                await reservation.grow_to(MAX_EVENT_BYTES)
            else:
                reservation.release()
        self._splitter.check_joined()
        self._caller.start_stream(response)
        self._caller.end_stream()
        return first

    def _split(self, data):
        """Return the events that `data` completes; None is the end of the stream."""
        try:
            return (
                self._splitter.finish() if data is None else self._splitter.feed(data)
            )
        except (EventTooLong, EventTruncated) as exc:
            raise TargetConnectionLost(str(exc))
        finally:
            self._progress.events = self._splitter.count
            self._progress.can_resume = self._splitter.can_resume

    async def _next_data(self, tconn):
        """Return the next bytes of a stream; raise `FailedOver` if another takes over.

        If the target completes no event for too long, another one is requested, but
        this target may still continue until the coordinator grants that. Bytes that
        complete no event do not count, and neither do comments.
        """
        progress = self._progress
        if not progress.may_resume:
            return await tconn.read_data()
        try:
            silent_at = progress.progress_at + self._silence_timeout()
            async with asyncio.timeout_at(silent_at):
                return await tconn.read_data()
        except TimeoutError:
            pass
        _log.info(
            "a stream fell silent",
            request=progress.call.request_id,
            last=self._splitter.last_id,
        )
        reading = self._loop.create_task(tconn.read_data())
        try:
            await self._grants.request_failover(reading)
            # The next request for another target waits as long as the first.
            progress.progress_at = self._loop.time()
            return await reading
        finally:
            reading.cancel()

    def _silence_timeout(self):
        timeout_s = self._progress.route.max_event_gap_s * SILENCE_TIMEOUT_GAPS
        return min(max(timeout_s, MIN_SILENCE_TIMEOUT_S), MAX_SILENCE_TIMEOUT_S)
