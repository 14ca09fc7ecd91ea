"""Routes callers' requests, bounds what is in hand, answers every error."""

import threading

from lovagepier import keys
from lovagepier.callers._entries import entries_response
from lovagepier.callers._models import ModelRequests
from lovagepier.callers._records import RecordRequests
from lovagepier.errors import ErrorKind, RequestError
from lovagepier.logs import component_logger
from lovagepier.web import json_response, problem_response

__all__ = ["CallersApp"]

TIER_THREAD_STEP = 0.1
_COMPLETIONS = {"/v1/chat/completions": "chat", "/v1/completions": "completions"}


class CallersApp:
    """The application behind the callers' address."""

    def __init__(self, node):
        self._node = node
        self._models = ModelRequests(node)
        self._records = RecordRequests(node)
        self._busy = 0
        self._lock = threading.Lock()
        self._log = component_logger("callers")

    def busy(self):
        """Return the number of requests in hand."""
        return self._busy

    def handle(self, request):
        """Answer one request; never raises."""
        request_id = request.header("X-Request-Id")[:100]
        with self._lock:
            self._busy += 1
        response = None
        try:
            response = self._route(request)
        except RequestError as exc:
            response = self._refused(exc, request_id)
        except Exception as exc:  # noqa: BLE001  no traceback may reach a caller
            self._log.error("a request met a fault", request=request_id, exc_info=exc)
            fault = RequestError(ErrorKind.INTERNAL, type(exc).__name__)
            response = problem_response(fault, request_id)
        finally:
            self._settle(response)
        return response

    def _settle(self, response):
        if response is None or isinstance(response.body, bytes):
            self._done()
            return
        response.body = _Counted(response.body, self._done)

    def _done(self):
        with self._lock:
            self._busy -= 1

    def _refused(self, exc, request_id):
        self._node.metrics.count(f"refused_{exc.kind.replace('-', '_')}")
        self._log.debug(
            "a request was refused",
            kind=str(exc.kind),
            why=exc.detail,
            request=request_id,
        )
        return problem_response(exc, request_id)

    def _route(self, request):
        if request.path in _COMPLETIONS:
            if request.method != "POST":
                raise RequestError(ErrorKind.UNKNOWN_PATH, "only POST is served here")
            self._keep_room(request)
            return self._models.handle(request, _COMPLETIONS[request.path])
        if request.path.startswith("/records/"):
            self._keep_room(request)
            return self._records.handle(request)
        if request.path == "/v1/entries":
            return self._entries(request)
        if request.path == "/healthz":
            return json_response({"ok": True})
        raise RequestError(ErrorKind.UNKNOWN_PATH, "no such path")

    def _keep_room(self, request):
        """Keep worker threads for higher tiers as the pool fills."""
        view = self._node.view
        owner = keys.find_owner(
            keys.bearer_token(request.header("Authorization")), view.account_by_hash
        )
        tier = view.accounts[owner].tier if owner else len(view.tiers)
        wanted = request.header("X-Tier")
        if wanted in view.tiers:
            tier = max(tier, view.tiers.index(wanted))
        room = self._node.cfg.callers_threads * (1.0 - TIER_THREAD_STEP * min(tier, 5))
        if tier and self._busy > room:
            raise RequestError(ErrorKind.SHED, "the node's workers are busy")

    def _entries(self, request):
        view = self._node.view
        owner = keys.find_owner(
            keys.bearer_token(request.header("Authorization")), view.account_by_hash
        )
        if owner is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "no account has this key")
        return entries_response(self._node, owner, request.query_param("zone", ""))


class _Counted:
    """A streamed body that is counted as in hand until it is closed."""

    def __init__(self, body, done):
        self._body = body
        self._done = done
        self._closed = False

    def __iter__(self):
        return iter(self._body)

    def close(self):
        """Close the body underneath, once."""
        if self._closed:
            return
        self._closed = True
        try:
            self._body.close()
        finally:
            self._done()
