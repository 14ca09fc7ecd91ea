"""Codecs for the JSON documents in the platform's store."""

import ipaddress
import json
import math

from lovagepier.decisions.placement.residence import read_regions
from lovagepier.entry.catalog import (
    Account,
    CallerLimits,
    Catalog,
    Route,
    Service,
)
from lovagepier.entry.store_types import RolloutOrder, Target
from lovagepier.platform._fields import (
    DocumentError,
    check_number,
    load_configuration,
    load_document,
    read_name,
    read_text,
    read_whole,
)
from lovagepier.platform._malformed import MALFORMED

__all__ = [
    "CONFIG_KEY",
    "TARGET_PREFIX",
    "decode_address",
    "decode_catalog",
    "decode_rollout",
    "decode_rollout_state",
    "decode_target",
    "encode_rollout_state",
    "evacuated_zone",
    "is_evacuation",
    "is_rollout_state",
    "rollout_service",
    "rollout_state_key",
    "rollout_state_term",
]

CONFIG_KEY = "op/config"
TARGET_PREFIX = "servers/"
_EVACUATION_PREFIX = "op/evacuate/"
_ROLLOUT_PREFIX = "op/rollout/"
_ROLLOUT_STATE_PREFIX = "status/rollout/"
# Quota cost of a call without token counts if the account names none.
_DEFAULT_COST = 1
# The largest targets run some thousands of requests at once.
MAX_SLOTS = 100_000
# Unix time in ms at the end of the year 2286.
MAX_UNIX_MS = 10**13 - 1
MAX_COUNT = 2**63 - 1
# Revisions have the era in their high bits.
MAX_REVISION = 2**96
# Some thirty years.
MAX_DURATION_S = 1e9
# Bounds of the numbers in a configuration: sums and products stay exact.
MAX_AMOUNT = 10**12
MAX_STRIDE = 10**6
# Callers abandon a stream, also before its first event, after the longest of this time
# and these multiples of its latency objective and of its maximum event gap.
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0
# Route kind: (retryable, streams).
_ROUTE_KINDS = {
    "idempotent": (True, False),
    "non_idempotent": (False, False),
    "streaming": (False, True),
}
# State in the store: state in this program ("taken-back" means rolled back).
_STATES = {"running": "running", "completed": "done", "rolled_back": "taken-back"}
_STORED_STATES = {state: stored for stored, state in _STATES.items()}


def _positive(value):
    number = 0.0 if isinstance(value, bool) else float(value)
    if not 0.0 < number < float("inf"):
        raise ValueError("not a positive number")
    return number


def _clamped(value, most):
    """Return a number of a configuration within 0 and `most`.

    A valid configuration must come into force, whatever is absurd in it.
    """
    if isinstance(value, (str, float)):
        value = float(value)
        if math.isnan(value):
            raise ValueError("not a number")
    return min(max(value, 0), most)


def _seconds(raw, name, default):
    return _clamped(raw.get(name, default), MAX_DURATION_S) / 1000.0


def _amount(raw, name):
    """Return a number that may be missing, 0 then."""
    return float(_clamped(raw.get(name) or 0, MAX_AMOUNT))


def _whole(value, most=MAX_AMOUNT):
    return int(_clamped(value, most))


def _name(raw, field):
    name = str(raw[field])
    if not name.isprintable():
        raise ValueError(f"{field} has characters that names don't have")
    return name


def _services_of(raw):
    split = raw.get("traffic_split") or []
    if split:
        return tuple(
            (_name(row, "service"), float(_clamped(row["weight"], MAX_AMOUNT)))
            for row in split
        )
    return ((_name(raw, "service"), 1.0),)


def _patience(streams, objective_s, gap_s):
    """Return the time without an event after which callers abandon a stream."""
    if not streams:
        return 0.0
    return max(MIN_PATIENCE_S, PATIENCE_OBJECTIVES * objective_s, PATIENCE_GAPS * gap_s)


def _route(raw):
    retryable, streams = _ROUTE_KINDS[raw["kind"]]
    resumable = bool(raw.get("stream_resume", False))
    objective_s = _seconds(raw, "target_latency_ms", 0)
    gap_s = _seconds(raw, "gap_aim_ms", 0)
    return Route(
        name=_name(raw, "name"),
        host=str(raw["host"]).lower(),
        prefix=str(raw["prefix"]),
        retryable=retryable or (streams and resumable),
        streams=streams,
        resumable=streams and resumable,
        timeout_s=_seconds(raw, "timeout_ms", 0),
        latency_objective_s=objective_s,
        max_event_gap_s=gap_s,
        patience_s=_patience(streams, objective_s, gap_s),
        tier=_whole(raw.get("priority", 0)),
        services=_services_of(raw),
        max_attempts=max(_whole(raw.get("max_attempts", 1)), 1),
        public=bool(raw.get("public", False)),
        allowed_regions=read_regions(raw.get("allowed_regions", [])),
    )


def _service(raw):
    engine = raw.get("engine") or {}
    return Service(
        name=_name(raw, "name"),
        tokens_per_event=max(_whole(engine.get("stride", 1), MAX_STRIDE), 1),
        cold_start_s=_amount(raw, "cold_start_s"),
        cold_per_s=_amount(raw, "cold_per_s"),
        memory_tokens=_whole(engine.get("kv_capacity") or 0),
    )


def _account(raw):
    return Account(
        name=_name(raw, "name"),
        keys=tuple(str(key) for key in raw.get("api_keys", [])),
        tier=_whole(raw["priority"]) if raw.get("priority") is not None else None,
        rate=float(_clamped(raw.get("rate_per_s") or 0, MAX_AMOUNT)),
        burst=float(_clamped(raw.get("burst") or 0, MAX_AMOUNT)),
        counts_tokens=raw.get("unit") == "token_count",
        default_cost=float(
            _clamped(raw.get("plain_tokens") or _DEFAULT_COST, MAX_AMOUNT)
        ),
        allowed_regions=read_regions(raw.get("allowed_regions", [])),
    )


def _limits(raw):
    return CallerLimits(
        max_head_bytes=_whole(raw.get("max_header_bytes", 16384)),
        max_body_bytes=_whole(raw.get("max_body_bytes", 4 << 20)),
        head_timeout_s=_seconds(raw, "header_timeout_ms", 3000),
        idle_timeout_s=_seconds(raw, "idle_timeout_ms", 15000),
    )


def _version(value):
    version = int(value)
    if not 0 <= version <= MAX_COUNT:
        raise ValueError("version is out of range")
    return version


def decode_catalog(data):
    """Return the `Catalog` in a configuration document; raise `DocumentError`."""
    raw = load_configuration(data)
    try:
        services = [_service(row) for row in raw.get("services", [])]
        return Catalog(
            version=_version(raw["version"]),
            routes=[_route(row) for row in raw.get("routes", [])],
            services={each.name: each for each in services},
            accounts=[_account(row) for row in raw.get("tenants", [])],
            limits=_limits(raw.get("limits") or {}),
        )
    except MALFORMED as exc:
        raise DocumentError(f"is malformed: {type(exc).__name__} {exc}")


def decode_address(text):
    """Return (IP address, port) of HOST:PORT; raise ValueError for anything else."""
    if not isinstance(text, str):
        raise ValueError("the address is not a text")
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError("the port is not a number")
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"port {number}")
    # A scope may be any text, and resolving it may need a name server.
    address = ipaddress.ip_address(host.partition("%")[0])
    if "%" in host or address.is_unspecified or address.is_multicast:
        raise ValueError("the address is not that of a host")
    return str(address), number


def decode_target(key, data):
    """Return the `Target` stored under `key`; raise `DocumentError`."""
    raw = load_document(data)
    try:
        host, port = decode_address(raw["address"])
        state = read_text(raw, "state")
        if state not in ("ready", "draining"):
            raise ValueError(f"state {state!r}")
        check_number(raw, "cold_left_ms", MAX_UNIX_MS)
        # Not used here, but what states nonsense in one field may in others.
        check_number(raw, "seq", MAX_COUNT)
        return Target(
            id=read_name(key[len(TARGET_PREFIX) :]),
            service=read_text(raw, "service"),
            host=host,
            port=port,
            zone=read_text(raw, "zone"),
            version=read_text(raw, "version"),
            slots=read_whole(raw, "slots", 1, MAX_SLOTS),
            draining=state == "draining",
            started_at_ms=read_whole(raw, "born", 0, MAX_UNIX_MS)
            if "born" in raw
            else 0,
            cold_left_s=raw.get("cold_left_ms", 0) / 1000.0,
        )
    except MALFORMED as exc:
        raise DocumentError(f"is malformed: {type(exc).__name__} {exc}")


def is_evacuation(key):
    """Return whether a key stands for the evacuation of a zone."""
    return key.startswith(_EVACUATION_PREFIX)


def evacuated_zone(key):
    """Return the zone that an evacuation's key names; raise `DocumentError`."""
    zone = key[len(_EVACUATION_PREFIX) :]
    if not zone:
        raise DocumentError("names no zone")
    return zone


def rollout_service(key):
    """Return the service whose rollout order has this key, or None."""
    return key[len(_ROLLOUT_PREFIX) :] if key.startswith(_ROLLOUT_PREFIX) else None


def decode_rollout(data, revision):
    """Return the `RolloutOrder` in `data`; raise `DocumentError`.

    `revision` is the store revision at which it was written.
    """
    raw = load_document(data)
    try:
        return RolloutOrder(
            service=read_text(raw, "service"),
            version=read_text(raw, "target"),
            duration_s=min(_positive(raw["duration_s"]), MAX_DURATION_S),
            revision=revision,
        )
    except MALFORMED as exc:
        raise DocumentError(f"is malformed: {type(exc).__name__} {exc}")


def rollout_state_key(service):
    """Return the key of a service's rollout state."""
    return _ROLLOUT_STATE_PREFIX + service


def is_rollout_state(key):
    """Return whether a key is that of a rollout's state."""
    return key.startswith(_ROLLOUT_STATE_PREFIX)


def encode_rollout_state(order, state, started_at, cause="", term=""):
    """Return the document for a rollout's state: running, done or taken-back.

    `started_at` is the Unix time in seconds at which the order was first
    seen. The document holds the order's revision, so that a state is never
    applied to a later order, and the coordinator's `term` in which it was written.
    """
    return json.dumps(
        {
            "service": order.service,
            "target": order.version,
            "state": _STORED_STATES[state],
            "revision": order.revision,
            "begun": started_at,
            "cause": cause,
            "term": term,
        }
    ).encode()


def rollout_state_term(data):
    """Return the term in which a decodable state was written, "" if it has none.

    Earlier builds write none.
    """
    term = load_document(data).get("term")
    return term if isinstance(term, str) else ""


def decode_rollout_state(data):
    """Return (order revision, version, state, start time) of a rollout's state.

    Raise `DocumentError` if it can't be read. The start time is Unix seconds, 0
    if unknown.
    """
    raw = load_document(data)
    try:
        state = _STATES[raw["state"]]
        revision = read_whole({"revision": 0, **raw}, "revision", 0, MAX_REVISION)
        version = read_text({"target": "", **raw}, "target")
        begun = float(raw.get("begun", 0.0))
        if not 0.0 <= begun <= MAX_UNIX_MS:
            raise ValueError("begun is out of range")
        return revision, version, state, begun
    except MALFORMED as exc:
        raise DocumentError(f"is malformed: {type(exc).__name__} {exc}")
