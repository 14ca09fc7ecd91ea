"""Routes callers' requests, sheds load by tier and turns errors into responses."""

import threading

from lovagepier import keys
from lovagepier.callers._entries import entries_response
from lovagepier.callers._models import ModelRequests
from lovagepier.callers._records import RecordRequests
from lovagepier.errors import ErrorKind, RequestError
from lovagepier.logs import component_logger
from lovagepier.web import json_response, problem_response

__all__ = ["CallersApp"]

THREAD_FRACTION_PER_TIER = 0.1
_COMPLETIONS = {"/v1/chat/completions": "chat", "/v1/completions": "completions"}


class CallersApp:
    """HTTP application that serves callers."""

    def __init__(self, node):
        self._node = node
        self._models = ModelRequests(node)
        self._records = RecordRequests(node)
        self._in_flight = 0
        self._lock = threading.Lock()
        self._log = component_logger("callers")

    def in_flight(self):
        """Return the number of requests not yet answered in full."""
        return self._in_flight

    def handle(self, request):
        """Return the response; every exception becomes an error response."""
        request_id = request.header("X-Request-Id")[:100]
        with self._lock:
            self._in_flight += 1
        response = None
        try:
            response = self._route(request)
        except RequestError as exc:
            response = self._refusal_response(exc, request_id)
        except Exception as exc:  # noqa: BLE001  no traceback may reach a caller
            self._log.error(
                "unexpected exception while handling a request",
                request=request_id,
                exc_info=exc,
            )
            error = RequestError(ErrorKind.INTERNAL, type(exc).__name__)
            response = problem_response(error, request_id)
        finally:
            self._track_until_sent(response)
        return response

    def _track_until_sent(self, response):
        if response is None or isinstance(response.body, bytes):
            self._request_ended()
            return
        response.body = _TrackedBody(response.body, self._request_ended)

    def _request_ended(self):
        with self._lock:
            self._in_flight -= 1

    def _refusal_response(self, exc, request_id):
        self._node.metrics.count(f"refused_{exc.kind.replace('-', '_')}")
        self._log.debug(
            "request refused",
            kind=str(exc.kind),
            why=exc.detail,
            request=request_id,
        )
        return problem_response(exc, request_id)

    def _route(self, request):
        if self._node.refuses_callers and request.path != "/healthz":
            # A caller that keeps its connection would keep the node from ending.
            request.close_connection()
            raise RequestError(ErrorKind.STOPPING, "this node is about to end")
        if request.path in _COMPLETIONS:
            if request.method != "POST":
                raise RequestError(ErrorKind.UNKNOWN_PATH, "only POST is served here")
            self._shed_low_tiers(request)
            return self._models.handle(request, _COMPLETIONS[request.path])
        if request.path.startswith("/records/"):
            self._shed_low_tiers(request)
            return self._records.handle(request)
        if request.path == "/v1/entries":
            return self._entries(request)
        if request.path == "/healthz":
            return json_response({"ok": True})
        raise RequestError(ErrorKind.UNKNOWN_PATH, "no such path")

    def _shed_low_tiers(self, request):
        """Shed lower tiers before the worker threads run out.

        The highest tier may use all threads, and each tier below it a tenth
        less than the tier above, but at least half. A request without a valid
        key counts as below all tiers.
        """
        view = self._node.view
        owner = keys.find_owner(
            keys.bearer_token(request.header("Authorization")), view.account_by_hash
        )
        tier = view.accounts[owner].tier if owner else len(view.tiers)
        wanted = request.header("X-Tier")
        if wanted in view.tiers:
            tier = max(tier, view.tiers.index(wanted))
        max_in_flight = self._node.cfg.callers_threads * (
            1.0 - THREAD_FRACTION_PER_TIER * min(tier, 5)
        )
        if tier and self._in_flight > max_in_flight:
            raise RequestError(ErrorKind.SHED, "the node's workers are busy")

    def _entries(self, request):
        view = self._node.view
        owner = keys.find_owner(
            keys.bearer_token(request.header("Authorization")), view.account_by_hash
        )
        if owner is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "no account has this key")
        return entries_response(self._node, owner, request.query_param("zone", ""))


class _TrackedBody:
    """A streamed body whose request counts as in flight until it is closed."""

    def __init__(self, body, on_close):
        self._body = body
        self._on_close = on_close
        self._closed = False

    def __iter__(self):
        return iter(self._body)

    def close(self):
        """Close the wrapped body; further calls do nothing."""
        if self._closed:
            return
        self._closed = True
        try:
            self._body.close()
        finally:
            self._on_close()
