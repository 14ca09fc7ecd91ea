"""Headers between callers, entry hosts and targets, decoded once."""

from dataclasses import dataclass

from lovagepier.entry.call import Call

__all__ = [
    "TargetResponse",
    "decode_response",
    "decode_call",
    "encode_call",
    "relayed_headers",
    "with_last_event_id",
]

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_SIZES = b"x-token-count"
_PARTS = b"x-prompt-prefix"
_LENGTH_HINT = b"x-length-hint"
_MODEL = b"x-model"
_POSITION = b"last-event-id"
_KEY_SCHEME = "token "

# Headers that concern one connection only (RFC 9110, 7.6.1).
_PER_CONNECTION = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# What only the scheduler may say to a target; a caller's own is dropped.
_OURS = frozenset(
    (
        _DEADLINE,
        b"authorization",
        b"content-length",
        b"kv-fetch",
        b"kv-from",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-hold",
        b"x-kv-backup",
        b"x-pin-ms",
        b"x-tenant",
    )
)
# A caller can't have these removed by naming them in Connection.
_KEPT = frozenset((_REQUEST_ID, _SIZES, _PARTS, _MODEL, _POSITION, b"host"))
# An answer's framing is made anew on the way to the caller.
_FRAMING = frozenset((b"content-length", b"transfer-encoding", b"date", b"server"))


@dataclass(slots=True)
class TargetResponse:
    """The head of a target's answer.

    `not_run` tells that the target states it did not run the request;
    `request_id` is the id it echoes, empty if none; `signed` whether the
    target vouches for it; `encoded` whether the body is not as asked for;
    `events` whether it is an event stream; `closes` whether the connection
    ends with it; `idle_s` how long the target keeps the connection, None if
    it does not say.
    """

    status: int
    request_id: str
    not_run: bool
    signed: bool
    encoded: bool
    events: bool
    closes: bool
    idle_s: float | None
    headers: list


def _first(headers, name):
    for key, value in headers:
        if key == name:
            return value
    return None


def _text(value):
    return "" if value is None else value.decode("latin-1").strip()


def _milliseconds(value):
    try:
        number = float(_text(value))
    except ValueError:
        return None
    return number / 1000.0 if 0 <= number < 1e9 else None


def _sizes(value):
    """Return (prompt tokens, most tokens out), or None without them."""
    parts = _text(value).split(",")
    if len(parts) != 2:
        return None
    try:
        sizes = int(parts[0]), int(parts[1])
    except ValueError:
        return None
    return sizes if min(sizes) >= 0 else None


def _parts(value):
    """Return the prompt's parts in order as (id, tokens) pairs."""
    found = []
    for part in _text(value).split(","):
        name, _, tokens = part.strip().partition(":")
        if name and tokens.isdigit():
            found.append((name, int(tokens)))
    return tuple(found)


def _number(value, default):
    text = _text(value)
    return int(text) if text.isdigit() else default


def _key(headers):
    text = _text(_first(headers, b"authorization"))
    if text.lower().startswith(_KEY_SCHEME):
        return text[len(_KEY_SCHEME) :].strip()
    return ""


def _host(headers):
    name = _text(_first(headers, b"host")).lower()
    return name.rsplit(":", 1)[0] if ":" in name else name


def decode_call(method, target, headers):
    """Return the `Call` that a caller's request head describes.

    `headers` are (lower-case name, value) byte pairs. What can't be read is
    left at its neutral value; the request id stays empty if it is missing
    or given twice.
    """
    ids = [value for name, value in headers if name == _REQUEST_ID]
    sizes = _sizes(_first(headers, _SIZES))
    return Call(
        request_id=_text(ids[0]) if len(ids) == 1 else "",
        method=method.decode("latin-1"),
        target=target.decode("latin-1"),
        host=_host(headers),
        key=_key(headers),
        patience_s=_milliseconds(_first(headers, _DEADLINE)),
        sizes=sizes,
        expected_out=_number(_first(headers, _LENGTH_HINT), 0),
        parts=_parts(_first(headers, _PARTS)),
        position=_text(_first(headers, _POSITION)),
        headers=headers,
    )


def _end_to_end(headers):
    listed = set()
    for name, value in headers:
        if name == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    dropped = (_PER_CONNECTION | listed) - _KEPT
    return [pair for pair in headers if pair[0] not in dropped]


def encode_call(call, left_s, instance, account, body_bytes):
    """Return the header pairs of one dispatch of `call` to a target.

    `left_s` is the time that the target has, `instance` the one that must
    answer, `account` the client account or "" on a public route.
    """
    pairs = [pair for pair in _end_to_end(call.headers) if pair[0] not in _OURS]
    pairs.append((_DEADLINE, str(max(int(left_s * 1000), 1)).encode()))
    pairs.append((b"x-expect-instance", instance.encode()))
    if account:
        pairs.append((b"x-tenant", account.encode()))
    if body_bytes or call.method not in ("GET", "HEAD", "DELETE"):
        pairs.append((b"content-length", str(body_bytes).encode()))
    return pairs


def with_last_event_id(pairs, position):
    """Return header pairs that ask to go on after event `position`."""
    kept = [pair for pair in pairs if pair[0] != _POSITION]
    return [*kept, (_POSITION, position.encode())]


def decode_response(status, headers, http_version=b"1.1"):
    """Return the `TargetResponse` that an answer's head describes."""
    connection = (_first(headers, b"connection") or b"").lower()
    encoding = _text(_first(headers, b"content-encoding")).lower()
    return TargetResponse(
        status=status,
        request_id=_text(_first(headers, _REQUEST_ID)),
        not_run=_first(headers, b"x-not-executed") is not None or status == 421,
        signed=_first(headers, b"x-server-seal") is not None,
        encoded=encoding not in ("", "identity"),
        events=_text(_first(headers, b"content-type")).startswith("text/event-stream"),
        closes=b"close" in connection or http_version == b"1.0",
        idle_s=_idle_seconds(_first(headers, b"keep-alive")),
        headers=headers,
    )


def _idle_seconds(value):
    for part in _text(value).split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return None


def relayed_headers(answer):
    """Return a target's headers as they go to the caller, without framing."""
    return [pair for pair in _end_to_end(answer.headers) if pair[0] not in _FRAMING]
