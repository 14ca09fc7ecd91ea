"""The response that the caller of one call gets: a target's, or the host's own."""

from lovagepier.entry._callers.running_calls import STOPPING_RETRY_AFTER_S
from lovagepier.errors import ErrorKind, error_spec
from lovagepier.logs import component_logger
from lovagepier.platform import relayed_headers

__all__ = ["CallerResponse"]

_log = component_logger("callers")


class _Fallback:
    """A complete error response, sent to the caller if no retry succeeds."""

    __slots__ = ("body", "response")

    def __init__(self, response, body):
        self.response = response
        self.body = body


class CallerResponse:
    """Sends one response: whole, as a stream, or an error at the end.

    A response that was started and can't be completed is aborted. `is_reusable`
    tells whether the caller's connection can be reused afterwards.
    """

    __slots__ = ("_conn", "_fallback", "_frontend", "_progress", "is_reusable")

    def __init__(self, frontend, conn, progress):
        self._frontend = frontend
        self._conn = conn
        self._progress = progress
        self._fallback = None
        self.is_reusable = False

    def keep_fallback(self, response, body):
        """Keep a target's error response for the case that no retry succeeds."""
        self._fallback = _Fallback(response, body)

    def send_whole(self, response, body):
        """Send a target's whole response."""
        self._progress.response_started = True
        self.is_reusable = self._conn.send_response(
            response.status, relayed_headers(response), body
        )

    def start_stream(self, response):
        """Send the head of a target's stream, unless one was sent before."""
        if not self._progress.response_started:
            self._progress.response_started = True
            self._conn.send_head(response.status, relayed_headers(response))

    async def send_events(self, events):
        """Send whole events; wait while the caller reads too slowly."""
        await self._conn.send_data(events)

    def end_stream(self):
        """End the stream as complete."""
        self.is_reusable = self._conn.end_response()

    def end_without_success(self, refusal):
        """Send the final response to a request that no target has completed.

        `refusal` is the coordinator's, None if it gave none. A response that has
        been started is aborted.
        """
        if self._progress.response_started:
            self._conn.abort()
        elif self._fallback is not None:
            self.send_whole(self._fallback.response, self._fallback.body)
        elif self._progress.maybe_executed:
            self._send_error(ErrorKind.ANSWER_LOST)
        elif refusal is None:
            self._send_error(ErrorKind.TARGET_REFUSED)
        else:
            kind = ErrorKind(refusal.kind)
            self._send_error(kind, refusal.retry_after, refusal.why)

    def end_at_deadline(self):
        """Send the final response at the deadline; abort one that has been started."""
        if self._progress.response_started:
            _log.info(
                "response aborted at the deadline",
                request=self._progress.call.request_id,
            )
            self._conn.abort()
            self.is_reusable = False
        elif self._fallback is not None:
            self.send_whole(self._fallback.response, self._fallback.body)
        elif self._progress.maybe_executed:
            self._send_error(ErrorKind.DEADLINE_RUNNING)
        else:
            self._send_error(ErrorKind.DEADLINE_WAITING)

    def end_at_stop(self, why):
        """Send the final response of a stopping host; abort one that was started.

        Only a call that no target may have executed is reported as not executed.
        """
        if self._progress.response_started:
            _log.info(
                "response aborted in a stop",
                request=self._progress.call.request_id,
                why=why,
            )
            self._conn.abort()
            self.is_reusable = False
        elif self._fallback is not None:
            self.send_whole(self._fallback.response, self._fallback.body)
        elif self._progress.maybe_executed:
            self._send_error(ErrorKind.ANSWER_LOST, why=why)
        else:
            self._send_error(ErrorKind.STOPPING, STOPPING_RETRY_AFTER_S, why)

    def _send_error(self, kind, retry_after=None, why=""):
        """Send an error response.

        A status that says that the call was not executed becomes 502 if a target
        may have executed it.
        """
        call = self._progress.call
        retry_after, why = self._frontend.residence.explain(
            call, kind, retry_after, why
        )
        status = error_spec(kind).status
        if status in (429, 503, 408, 421) and self._progress.maybe_executed:
            status = 502
        self.is_reusable = self._frontend.send_error(
            self._conn, call.request_id, kind, status, retry_after, why
        )
