"""What lies in the platform's store, decoded into types that say what they hold."""

import json

from lovagepier.entry.catalog import (
    Account,
    CallerLimits,
    Catalog,
    Route,
    Service,
)
from lovagepier.entry.store_types import RolloutOrder, Target

__all__ = [
    "CONFIG_KEY",
    "TARGET_PREFIX",
    "DocumentError",
    "decode_catalog",
    "decode_rollout",
    "decode_rollout_state",
    "decode_target",
    "encode_rollout_state",
    "rollout_service",
    "rollout_state_key",
]

CONFIG_KEY = "op/config"
TARGET_PREFIX = "servers/"
_MOVE_PREFIX = "op/rollout/"
_STATE_PREFIX = "status/rollout/"
# Calls of a plain service count this much against a quota if nothing is said.
_DEFAULT_PLAIN_TOKENS = 1
_KINDS = {
    "idempotent": (True, False),
    "non_idempotent": (False, False),
    "streaming": (False, True),
}
_STATES = {"running": "running", "completed": "done", "rolled_back": "taken-back"}
_STATE_WORDS = {ours: theirs for theirs, ours in _STATES.items()}


class DocumentError(ValueError):
    """Bytes in the store that are not a document of the expected form."""


def _load(data):
    try:
        document = json.loads(data)
    except ValueError as exc:
        raise DocumentError(f"is not JSON: {exc}")
    if not isinstance(document, dict):
        raise DocumentError("is not an object")
    return document


def _seconds(raw, name, default):
    return float(raw.get(name, default)) / 1000.0


def _services_of(raw):
    split = raw.get("traffic_split") or []
    if split:
        return tuple((str(row["service"]), float(row["weight"])) for row in split)
    return ((str(raw["service"]), 1.0),)


def _route(raw):
    repeatable, streams = _KINDS[raw["kind"]]
    resumes = bool(raw.get("stream_resume", False))
    return Route(
        name=str(raw["name"]),
        host=str(raw["host"]).lower(),
        prefix=str(raw["prefix"]),
        repeatable=repeatable or (streams and resumes),
        streams=streams,
        resumes=streams and resumes,
        timeout_s=_seconds(raw, "timeout_ms", 0),
        aim_s=_seconds(raw, "target_latency_ms", 0),
        gap_s=_seconds(raw, "gap_aim_ms", 0),
        tier=int(raw.get("priority", 0)),
        services=_services_of(raw),
        max_attempts=max(int(raw.get("max_attempts", 1)), 1),
        public=bool(raw.get("public", False)),
    )


def _service(raw):
    engine = raw.get("engine") or {}
    return Service(
        name=str(raw["name"]),
        event_tokens=max(int(engine.get("stride", 1)), 1),
    )


def _account(raw):
    return Account(
        name=str(raw["name"]),
        keys=tuple(str(key) for key in raw.get("api_keys", [])),
        tier=int(raw["priority"]) if raw.get("priority") is not None else None,
        rate=float(raw.get("rate_per_s") or 0),
        burst=float(raw.get("burst") or 0),
        by_tokens=raw.get("unit") == "token_count",
        plain_cost=float(raw.get("plain_tokens") or _DEFAULT_PLAIN_TOKENS),
    )


def _limits(raw):
    return CallerLimits(
        max_head_bytes=int(raw.get("max_header_bytes", 16384)),
        max_body_bytes=int(raw.get("max_body_bytes", 4 << 20)),
        head_s=_seconds(raw, "header_timeout_ms", 3000),
        idle_s=_seconds(raw, "idle_timeout_ms", 15000),
    )


def decode_catalog(data):
    """Return the `Catalog` in the bytes of a configuration."""
    raw = _load(data)
    try:
        return Catalog(
            version=int(raw["version"]),
            routes=[_route(row) for row in raw.get("routes", [])],
            services={row["name"]: _service(row) for row in raw.get("services", [])},
            accounts=[_account(row) for row in raw.get("tenants", [])],
            limits=_limits(raw.get("limits") or {}),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise DocumentError(f"is malformed: {type(exc).__name__} {exc}")


def decode_target(key, data):
    """Return the `Target` that lies at `key`."""
    raw = _load(data)
    try:
        host, port = str(raw["address"]).rsplit(":", 1)
        if raw["state"] not in ("ready", "draining"):
            raise ValueError(f"state {raw['state']!r}")
        for name in ("service", "zone", "version"):
            if not isinstance(raw[name], str):
                raise TypeError(name)
        return Target(
            id=key[len(TARGET_PREFIX) :],
            service=raw["service"],
            host=host,
            port=int(port),
            zone=raw["zone"],
            version=raw["version"],
            slots=max(int(raw.get("slots", 1)), 1),
            draining=raw["state"] == "draining",
            born=int(raw.get("born") or 0),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise DocumentError(f"is malformed: {type(exc).__name__} {exc}")


def rollout_service(key):
    """Return the service whose move is ordered at `key`, or None."""
    return key[len(_MOVE_PREFIX) :] if key.startswith(_MOVE_PREFIX) else None


def decode_rollout(data, revision):
    """Return the `RolloutOrder` in the bytes written at store `revision`."""
    raw = _load(data)
    try:
        return RolloutOrder(
            service=str(raw["service"]),
            version=str(raw["target"]),
            duration_s=float(raw["duration_s"]),
            revision=revision,
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise DocumentError(f"is malformed: {type(exc).__name__} {exc}")


def rollout_state_key(service):
    """Return the key under which a move's state is told."""
    return _STATE_PREFIX + service


def encode_rollout_state(order, state, begun_at, cause=""):
    """Return the bytes of a move's state: running, done or taken-back.

    `begun_at` is the Unix time in seconds at which the order was first
    seen; `revision` ties the state to one order.
    """
    return json.dumps(
        {
            "service": order.service,
            "target": order.version,
            "state": _STATE_WORDS[state],
            "revision": order.revision,
            "begun": begun_at,
            "cause": cause,
        }
    ).encode()


def decode_rollout_state(data):
    """Return (order revision, state, begun at) of a told move state."""
    raw = _load(data)
    try:
        state = _STATES[raw["state"]]
        return int(raw.get("revision", 0)), state, float(raw.get("begun", 0.0))
    except (KeyError, TypeError, ValueError) as exc:
        raise DocumentError(f"is malformed: {type(exc).__name__} {exc}")
