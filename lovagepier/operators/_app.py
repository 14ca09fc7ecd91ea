"""HTTP API for operators: configuration, rollouts, events, status and metrics."""

import uuid

from lovagepier import keys
from lovagepier.backing import StoreError
from lovagepier.callers import entries_response
from lovagepier.config import PatchError
from lovagepier.errors import ErrorKind, RequestError
from lovagepier.logs import component_logger
from lovagepier.node import merge_events
from lovagepier.peers import messages
from lovagepier.web import Response, json_response, problem_response

__all__ = ["OperatorsApp"]

PEER_TIMEOUT_S = 2.0
MAX_PATCH_BYTES = 1 << 20
MAX_PATCH_ID_CHARS = 100
# In the API a rollout is a "move", and "taken-back" means rolled back.
_FINAL_SHARES = {"done": 1.0, "taken-back": 0.0}


def _outweighs(state, known):
    """Return whether what a node reports of a rollout is to be shown instead.

    A rollback that any node reports outweighs the rest, then a state with a cause.
    """
    if "taken-back" in (state["state"], known["state"]):
        return state["state"] == "taken-back"
    return bool(state["cause"]) and not known["cause"]


class OperatorsApp:
    """HTTP application that serves operators."""

    def __init__(self, node):
        self._node = node
        self._log = component_logger("operators")

    def handle(self, request):
        """Return the response; every exception becomes an error response."""
        try:
            return self._route(request)
        except PatchError as exc:
            extra = {"faults": [list(fault) for fault in exc.faults]}
            if exc.current is not None:
                extra["current"] = exc.current
            return problem_response(exc, extra=extra)
        except RequestError as exc:
            return problem_response(exc)
        except StoreError as exc:
            error = RequestError(ErrorKind.CONFIG_UNAVAILABLE, str(exc))
            return problem_response(error)
        except Exception as exc:  # noqa: BLE001  no traceback may reach an operator
            self._log.error(
                "unexpected exception while handling a request", exc_info=exc
            )
            return problem_response(
                RequestError(ErrorKind.INTERNAL, type(exc).__name__)
            )

    def _route(self, request):
        if request.path == "/healthz":
            return json_response({"ok": True})
        if request.path == "/readyz":
            return self._ready()
        if request.path == "/v1/entries":
            return self._entries(request)
        operator = self._authenticate(request)
        parts = request.path_segments()
        if parts == ["v1", "config"] and request.method == "GET":
            return self._config()
        if parts == ["v1", "config"] and request.method == "PATCH":
            return self._patch(request, operator)
        if parts == ["v1", "config", "history"]:
            return self._history(request)
        if len(parts) == 4 and parts[:2] == ["v1", "config"] and parts[3] == "in-force":
            return self._in_force(parts[2])
        if parts == ["v1", "moves"]:
            return self._rollouts()
        if parts == ["v1", "events"]:
            return self._events(request)
        if parts == ["v1", "status"]:
            return self._status()
        if request.path == "/metrics":
            return self._metrics()
        raise RequestError(ErrorKind.UNKNOWN_PATH, "no such path")

    def _authenticate(self, request):
        key = keys.bearer_token(request.header("Authorization"))
        if key and keys.matches_any(key, self._node.cfg.operators_key_hashes):
            # The recorded author of patches whose key is in the settings file.
            return "settings"
        owner = keys.find_owner(key, self._node.view.operator_by_hash)
        if owner is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "no operator has this key")
        return owner

    def _ready(self):
        ready = not self._node.stopping.is_set() and self._node.view.version > 0
        status = 200 if ready else 503
        return json_response({"ready": ready}, status=status)

    def _entries(self, request):
        key = keys.bearer_token(request.header("Authorization"))
        owner = keys.find_owner(key, self._node.view.account_by_hash)
        if owner is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "no account has this key")
        return entries_response(self._node, owner, request.query_param("zone", ""))

    # Configuration

    def _config(self):
        view = self._node.view
        body = {"version": view.version, "document": view.document}
        return json_response(body, headers=[("ETag", f'"{view.version}"')])

    def _patch(self, request, operator):
        operations = request.json(MAX_PATCH_BYTES)
        if not isinstance(operations, list):
            raise RequestError(ErrorKind.BAD_REQUEST, "the body is not a JSON Patch")
        base = self._base_version(request)
        patch_id = request.header("X-Patch-Id") or uuid.uuid4().hex
        if len(patch_id) > MAX_PATCH_ID_CHARS:
            raise RequestError(ErrorKind.BAD_REQUEST, "X-Patch-Id is too long")
        record = self._node.submit_patch(operations, base, patch_id, operator)
        accepted = record.patches.get(patch_id, record.version)
        self._node.timeline.add(
            "config", f"patch accepted as version {accepted}", why=f"by {operator}"
        )
        body = {"version": accepted, "patch_id": patch_id}
        return json_response(body, headers=[("ETag", f'"{accepted}"')])

    def _base_version(self, request):
        text = request.header("If-Match").strip().strip('"')
        if not text.isdigit():
            raise RequestError(
                ErrorKind.BAD_REQUEST, "If-Match must name the version patched"
            )
        return int(text)

    def _history(self, request):
        limit = request.query_param("limit", "50")
        if not limit.isdigit():
            raise RequestError(ErrorKind.BAD_REQUEST, "limit is not a number")
        found = self._node.config_store.history(min(int(limit), 500))
        rows = [{"version": version, **entry} for version, entry in found]
        return json_response({"history": rows})

    def _in_force(self, text):
        if not text.isdigit():
            raise RequestError(ErrorKind.BAD_REQUEST, "the version is not a number")
        version = int(text)
        nodes = {s["node"]: s["version"] for s in self._statuses()}
        silent = [n for n in self._node.roster.live if n not in nodes]
        everywhere = not silent and all(v >= version for v in nodes.values())
        body = {
            "version": version,
            "everywhere": everywhere,
            "nodes": nodes,
            "silent": silent,
        }
        return json_response(body)

    # Fleet

    def _ask_all_nodes(self, body):
        futures = []
        for name in sorted(self._node.roster.reachable):
            address = self._node.roster.address(name)
            if name != self._node.cfg.node_name and address:
                futures.append(self._node.links.ask(address, body))
        answers = []
        for fut in futures:
            try:
                answers.append(fut.result(PEER_TIMEOUT_S))
            except Exception:  # noqa: BLE001  a node that fails to answer is left out
                continue
        return answers

    def _statuses(self):
        answers = self._ask_all_nodes(messages.StatusRequest())
        return [self._node.status(), *(answer.status for answer in answers)]

    def _status(self):
        return json_response({"nodes": self._statuses()})

    def _rollouts(self):
        view = self._node.view
        states = {}
        for status in self._statuses():
            for name, state in status["moves"].items():
                known = states.get(name)
                if known is None or _outweighs(state, known):
                    states[name] = state
        moves = []
        for name, raw in view.document["moves"].items():
            reported = states.get(name, {})
            configured = raw.get("state", "open")
            moves.append(
                {
                    "move": name,
                    **raw,
                    "state": configured
                    if configured != "open"
                    else reported.get("state", "open"),
                    "settled": configured != "open",
                    "share": _FINAL_SHARES.get(configured, reported.get("share", 0.0)),
                    "cause": raw.get("cause") or reported.get("cause") or "",
                }
            )
        return json_response({"moves": moves})

    def _events(self, request):
        try:
            since = float(request.query_param("since", "0"))
            limit = int(request.query_param("limit", "2000"))
        except ValueError:
            raise RequestError(ErrorKind.BAD_REQUEST, "since or limit is not a number")
        ask = messages.EventsRequest(
            request.query_param("request", ""),
            request.query_param("move", ""),
            since,
            limit,
        )
        own = self._node.timeline.find(ask.request, ask.move, since, limit)
        answers = self._ask_all_nodes(ask)
        events = merge_events([own, *(answer.events for answer in answers)])
        return json_response({"events": events[-limit:]})

    def _metrics(self):
        node = self._node
        gauges = {
            "config_version": node.view.version,
            "running": node.permits.count(),
            "live_nodes": len(node.roster.live),
            "store_calls_total": node.store.calls,
            "peer_bytes_sent_total": node.links.bytes_sent,
            "peer_bytes_received_total": node.links.bytes_received,
        }
        text = node.metrics.text(gauges)
        return Response(200, text.encode(), [("Content-Type", "text/plain")])
