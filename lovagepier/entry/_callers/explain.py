"""`GET /explain` of the metrics listener: where a request would go now, and why.

Nothing is sent, and nothing is changed by asking.
"""

import asyncio
import json
import time
from urllib.parse import parse_qs

from lovagepier.entry._callers.call_progress import CallProgress
from lovagepier.entry._callers.grants import dispatch_request
from lovagepier.entry._coordination.explanation import explain_request
from lovagepier.entry.call import Call
from lovagepier.platform import number_of

__all__ = ["EXPLAIN_PATH", "Explainer"]

EXPLAIN_PATH = "/explain"
PAUSE_FACTOR = 10.0
# The id of a described request, where the description has none. The id selects the
# service of a route with several, and the version during a rollout.
DEFAULT_ID = "explain"
_FIELDS = frozenset(
    (
        "account",
        "block",
        "host",
        "id",
        "output_tokens",
        "path",
        "prompt_tokens",
        "route",
        "service",
        "timeout_ms",
    )
)


class _Unknown(Exception):
    """The description can't be read, or names something that does not exist."""


class Explainer:
    """Answers one question at a time.

    Copying a large scheduler takes some 100 ms of the event loop, so a question waits
    until `PAUSE_FACTOR` times what the last one took has passed.
    """

    __slots__ = ("_free_at", "_frontend", "_lock", "_loop")

    def __init__(self, frontend):
        self._frontend = frontend
        self._loop = asyncio.get_running_loop()
        self._lock = asyncio.Lock()
        self._free_at = 0.0

    async def answer(self, conn, call):
        """Answer with the decision on the request that the query string describes."""
        async with self._lock:
            await asyncio.sleep(self._free_at - self._loop.time())
            now = self._loop.time()
            status, answer = _answer(self._frontend, call.target, now)
            seconds = self._loop.time() - now
            self._free_at = now + seconds * PAUSE_FACTOR
        body = json.dumps(answer).encode()
        return conn.send_response(
            status, [(b"content-type", b"application/json")], body
        )


def _answer(frontend, target, now):
    try:
        described = _read(frontend.view.catalog, target, now)
        return 200, _explain(frontend, described, now)
    except _Unknown as exc:
        return 404, {"title": "can't explain", "detail": str(exc)}


def _explain(frontend, call, now):
    began = time.perf_counter()
    cluster, view = frontend.cluster, frontend.view
    is_coordinator = cluster.coordinator_name == frontend.cfg.host_name
    req = dispatch_request(frontend, CallProgress(call), call.request_id, True, now)
    decision = explain_request(frontend.coordinator, frontend.cfg.host_name, req, now)
    return {
        "host": frontend.cfg.host_name,
        "coordinator": cluster.coordinator_name,
        "by": "the coordinator" if is_coordinator else "this host's own view",
        "host_view": {
            "config_version": view.version,
            "store_revision": number_of(view.as_of),
            "store_age_s": round(view.store_age(now), 3),
        },
        "coordinator_view": {
            "store_age_s": round(cluster.coordinator_view_age(now), 3)
        },
        "request": {
            "route": req.route,
            "service": req.service,
            "account": req.account,
            "tier": req.tier,
            "remaining_s": round(req.remaining_s, 3),
            "cost": req.cost,
        },
        **decision,
        "seconds": round(time.perf_counter() - began, 4),
    }


def _read(catalog, target, now):
    """Return the `Call` that a query string describes; raise `_Unknown`."""
    if catalog is None:
        raise _Unknown("this host has no configuration yet")
    values = parse_qs(target.partition("?")[2], keep_blank_values=True)
    unknown = sorted(set(values) - _FIELDS)
    if unknown:
        allowed = ", ".join(sorted(_FIELDS))
        raise _Unknown(f"unknown field {unknown[0]}; allowed: {allowed}")
    first = {name: each[0] for name, each in values.items()}
    route = _find_route(catalog, first)
    account = catalog.accounts.get(first.get("account", ""))
    if account is None and (first.get("account") or _needs_account(catalog, route)):
        names = ", ".join(sorted(catalog.accounts)[:20])
        name = first.get("account", "")
        raise _Unknown(f"unknown account '{name}'; known: {names}")
    counts = None
    if "prompt_tokens" in first or "output_tokens" in first:
        prompt = _count(first, "prompt_tokens", 0)
        counts = prompt, _count(first, "output_tokens", 1)
    timeout_ms = _count(first, "timeout_ms", None)
    call = Call(
        request_id=first.get("id") or DEFAULT_ID,
        method="GET",
        target=first.get("path", route.prefix),
        host=route.host,
        key="",
        timeout_s=None if timeout_ms is None else timeout_ms / 1000.0,
        token_counts=counts,
        output_tokens_hint=0,
        prefix_blocks=tuple(_block(text) for text in values.get("block", ())),
        last_event_id="",
        headers=[],
        arrived_at=now,
    )
    call.route, call.account = route, account
    service = first.get("service")
    if service and route.service_for(call.request_id) != service:
        raise _Unknown(f"route {route.name} sends id {call.request_id} elsewhere")
    return call


def _needs_account(catalog, route):
    return catalog.requires_key and not route.public


def _find_route(catalog, first):
    path, name, service = (first.get(key) for key in ("path", "route", "service"))
    if path:
        hosts = [first["host"]] if "host" in first else {r.host for r in catalog.routes}
        found = [catalog.find_route(host, path) for host in hosts]
        found = [route for route in found if route is not None]
        what = f"route for path {path}"
    elif name:
        found = [route for route in catalog.routes if route.name == name]
        what = f"route {name}"
    elif service:
        found = [r for r in catalog.routes if service in dict(r.services)]
        what = f"service {service}"
    else:
        raise _Unknown("name a path, a route or a service")
    if not found:
        raise _Unknown(f"unknown {what}")
    if path and len(found) > 1:
        raise _Unknown(f"several hosts have a route for path {path}; name the host")
    return found[0]


def _count(first, name, default):
    text = first.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise _Unknown(f"{name} must be a whole number, not '{text}'")
    return int(text)


def _block(text):
    name, _, size = text.rpartition(":")
    if not name or not size.isascii() or not size.isdigit() or len(size) > 9:
        raise _Unknown(f"block must be ID:TOKENS, not '{text}'")
    return name, int(size)
