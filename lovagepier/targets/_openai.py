"""The adapter for engines with the OpenAI-compatible HTTP API and SSE."""

import contextlib
import json
from urllib.parse import quote

from lovagepier.targets._http import HttpAdapter, is_event_stream
from lovagepier.targets._openai_bodies import END_MARKER, checked_json, whole_events
from lovagepier.targets._port import (
    LoadReport,
    NotDispatched,
    TargetBroken,
    TargetUnreachable,
    UnknownRequestId,
    register_adapter,
)

__all__ = ["OpenAiAdapter"]

CANCEL_TIMEOUT_S = 0.5


@register_adapter("openai")
class OpenAiAdapter(HttpAdapter):
    """Completions, resume and cancel by request id, load reports and load orders."""

    resumes = True

    def dispatch(self, request, timeout):
        """Send `request` once; return a `Stream`, whose body is checked for its form.

        Raise `NotDispatched` if no connection could be made, otherwise
        `TargetBroken`.
        """
        stream = super().dispatch(request, timeout)
        if stream.status != 200:
            return stream
        if not request.streamed:
            stream.chunks = checked_json(stream.chunks)
        elif is_event_stream(stream):
            stream.chunks = whole_events(stream.chunks)
        return stream

    def resume(self, request_id, offset, timeout):
        """Return a `Stream` of a known request id from a byte offset.

        Raise `UnknownRequestId` on a 404 response, `TargetBroken` on any other error,
        whose body is no part of the stream, and `TargetUnreachable` if no connection
        can be made.
        """
        path = f"/v1/streams/{quote(request_id, safe='')}?offset={offset}"
        try:
            stream = self._open("GET", path, None, {}, timeout)
        except NotDispatched as exc:
            raise TargetUnreachable(str(exc))
        if stream.status == 404:
            stream.close()
            raise UnknownRequestId(f"{self.target.name} does not know the id")
        if stream.status != 200:
            stream.close()
            raise TargetBroken(f"{self.target.name} answered {stream.status}")
        if is_event_stream(stream):
            stream.chunks = whole_events(stream.chunks, is_checked=not offset)
        else:
            stream.chunks = checked_json(stream.chunks)
        return stream

    def cancel(self, request_id):
        """Ask the engine to stop a request; errors are ignored."""
        path = f"/v1/cancel/{quote(request_id, safe='')}"
        with contextlib.suppress(NotDispatched, TargetBroken):
            self._open("POST", path, b"", {}, CANCEL_TIMEOUT_S).close()

    def _call_json(self, method, path, body, timeout):
        data = json.dumps(body).encode() if body is not None else None
        stream = self._open(method, path, data, {}, timeout)
        content = b"".join(stream.chunks)
        if stream.status != 200:
            raise TargetBroken(f"{self.target.name} answered {stream.status}")
        try:
            return json.loads(content)
        except ValueError:
            raise TargetBroken(f"{self.target.name} answered no JSON")

    def load(self, timeout):
        """Return a `LoadReport`.

        Raise `NotDispatched` or `TargetBroken` if the engine does not report.
        """
        body = self._call_json("GET", "/v1/load", None, timeout)
        return LoadReport(
            int(body.get("running", 0)),
            int(body.get("waiting", 0)),
            str(body.get("incarnation", "")),
            list(body.get("evicted_blocks", [])),
            list(body.get("loaded", [])),
        )

    def known_ids(self, timeout):
        """Return the ids of the requests that the engine has received.

        Raise `NotDispatched` or `TargetBroken` if the engine does not answer.
        """
        return self._call_json("GET", "/v1/requests", None, timeout).get("ids", [])

    def order(self, body, fence, timeout):
        """Send an order; return whether the engine accepted it.

        A fenced engine rejects a fencing number below the highest it has seen.
        Returns False also if the engine can't be reached or answers an error.
        """
        try:
            self._call_json("POST", "/v1/orders", {**body, "fence": fence}, timeout)
        except (NotDispatched, TargetBroken):
            return False
        return True

    def is_complete(self, tail, streamed):
        """Return whether a streamed answer ends with the `[DONE]` event."""
        return not streamed or tail.rstrip().endswith(END_MARKER)
