"""Codecs for the headers between callers, entry hosts and targets."""

import math
from dataclasses import dataclass

from lovagepier.entry.call import Call

__all__ = [
    "RESPONSE_MARKS",
    "TargetResponse",
    "decode_response",
    "decode_call",
    "encode_call",
    "is_response_mark",
    "relayed_headers",
    "with_last_event_id",
]

_REQUEST_ID = b"x-request-id"
_TIMEOUT = b"x-deadline-ms"
_TOKEN_COUNTS = b"x-token-count"
_PREFIX_BLOCKS = b"x-prompt-prefix"
_LENGTH_HINT = b"x-length-hint"
_MODEL = b"x-model"
_LAST_EVENT_ID = b"last-event-id"
_RATE_LIMIT = b"server-limit"
_REJECTION_LIMIT = b"server-brittle"
_LEAVING = b"server-leaving"
_SEAL = b"x-server-seal"
_NOT_EXECUTED = b"x-not-executed"
# Names of the headers by which a response is known to be a target's.
RESPONSE_MARKS = frozenset((_REQUEST_ID, _SEAL, _NOT_EXECUTED))
_MAX_PAUSE_S = 86400.0
# Counts beyond this are not counts of tokens; estimates divide and multiply them.
_MAX_COUNT_DIGITS = 9
_KEY_SCHEME = "token "

# Hop-by-hop headers (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
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
# Headers that only the scheduler may send to a target; a caller's are dropped.
_SCHEDULER_ONLY = frozenset(
    (
        _TIMEOUT,
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
# Forwarded even if the Connection header lists them.
_ALWAYS_FORWARDED = frozenset(
    (_REQUEST_ID, _TOKEN_COUNTS, _PREFIX_BLOCKS, _MODEL, _LAST_EVENT_ID, b"host")
)
# Set anew for the response to the caller.
_FRAMING = frozenset((b"content-length", b"transfer-encoding", b"date", b"server"))


@dataclass(slots=True)
class TargetResponse:
    """The head of a target's response.

    `request_id` is the id that it echoes, empty if none or more than one.
    `not_executed` means that the target states it did not run the request. `seal` is
    the target's, empty if none or more than one; `signed` tells whether there is one.
    `is_marked` tells whether any header is one that only targets set.
    `content_encoded` means that the body has a content coding, which a target must
    not apply. `event_stream` tells whether the body is one of server-sent events,
    `closes_connection` whether the connection ends after the response.
    `idle_timeout_s` is how long the target keeps an idle connection, None if
    unspecified. `rate_limit` are the requests per second that the target takes from
    all hosts together, infinite unless it states a limit, None if what it states can't
    be read. `rejection_limit` is the number of rejections for want of room in a second
    that the target tolerates, infinite or None likewise. `is_leaving` means that the
    target states that it leaves; a 421 is about another target. `pause_s` are the
    seconds for which a target that rejected the request wants a pause from this
    host, 0 if it states none, None if the value can't be read.
    """

    status: int
    request_id: str
    not_executed: bool
    seal: str
    is_marked: bool
    content_encoded: bool
    event_stream: bool
    closes_connection: bool
    idle_timeout_s: float | None
    rate_limit: float | None
    rejection_limit: float | None
    is_leaving: bool
    pause_s: float | None
    headers: list

    @property
    def signed(self):
        """Whether the response carries the target's seal."""
        return bool(self.seal)

    @property
    def has_two_seals(self):
        """Whether it has two different seals, which no single response does."""
        seals = {_text(value) for name, value in self.headers if name == _SEAL}
        return len(seals) > 1


def _first(headers, name):
    for key, value in headers:
        if key == name:
            return value
    return None


def _only(headers, name):
    """Return the text of a header, "" if it is missing or has several values."""
    values = {_text(value) for key, value in headers if key == name}
    return values.pop() if len(values) == 1 else ""


def _text(value):
    return "" if value is None else value.decode("latin-1").strip()


def _seconds_of_ms(value):
    try:
        number = float(_text(value))
    except ValueError:
        return None
    return number / 1000.0 if 0 <= number < 1e9 else None


def _token_counts(value):
    """Return (prompt tokens, maximum output tokens), or None if unreadable."""
    parts = [part.strip() for part in _text(value).split(",")]
    if len(parts) != 2 or not all(map(_is_count, parts)):
        return None
    return int(parts[0]), int(parts[1])


def _is_count(text):
    """Return whether a text is a whole number of a size that counts have.

    Superscript digits pass `isdigit`, but `int` does not read them.
    """
    return text.isascii() and text.isdigit() and len(text) <= _MAX_COUNT_DIGITS


def _prefix_blocks(value):
    """Return the prompt's blocks in order as (id, tokens) pairs.

    Malformed pairs are skipped.
    """
    blocks = []
    for part in _text(value).split(","):
        name, _, tokens = part.strip().partition(":")
        if name and _is_count(tokens):
            blocks.append((name, int(tokens)))
    return tuple(blocks)


def _number(value, default):
    text = _text(value)
    return int(text) if _is_count(text) else default


def _key(headers):
    text = _text(_first(headers, b"authorization"))
    if text.lower().startswith(_KEY_SCHEME):
        return text[len(_KEY_SCHEME) :].strip()
    return ""


def _host(headers):
    name = _text(_first(headers, b"host")).lower()
    return name.rsplit(":", 1)[0] if ":" in name else name


def decode_call(method, target, headers):
    """Return the `Call` for a caller's request head.

    `headers` are (lower-case name, value) byte pairs. An unreadable header
    counts as absent. The request id is empty if it is missing or given more
    than once.
    """
    ids = [value for name, value in headers if name == _REQUEST_ID]
    counts = _token_counts(_first(headers, _TOKEN_COUNTS))
    return Call(
        request_id=_text(ids[0]) if len(ids) == 1 else "",
        method=method.decode("latin-1"),
        target=target.decode("latin-1"),
        host=_host(headers),
        key=_key(headers),
        timeout_s=_seconds_of_ms(_first(headers, _TIMEOUT)),
        token_counts=counts,
        output_tokens_hint=_number(_first(headers, _LENGTH_HINT), 0),
        prefix_blocks=_prefix_blocks(_first(headers, _PREFIX_BLOCKS)),
        last_event_id=_text(_first(headers, _LAST_EVENT_ID)),
        headers=headers,
    )


def _end_to_end(headers):
    """Return the headers that a proxy forwards (RFC 9110, section 7.6.1)."""
    listed = set()
    for name, value in headers:
        if name == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    dropped = (_HOP_BY_HOP | listed) - _ALWAYS_FORWARDED
    return [pair for pair in headers if pair[0] not in dropped]


def encode_call(call, timeout_s, instance, account, body_bytes):
    """Return the header pairs for one dispatch of `call` to a target.

    `timeout_s` is the time that the target has; it is sent as at least 1 ms.
    `instance` is the id of the target that must answer. `account` is the client
    account, "" on a public route. `body_bytes` is the length of the body.
    """
    pairs = [
        pair for pair in _end_to_end(call.headers) if pair[0] not in _SCHEDULER_ONLY
    ]
    pairs.append((_TIMEOUT, str(max(int(timeout_s * 1000), 1)).encode()))
    pairs.append((b"x-expect-instance", instance.encode()))
    if account:
        pairs.append((b"x-tenant", account.encode()))
    if body_bytes or call.method not in ("GET", "HEAD", "DELETE"):
        pairs.append((b"content-length", str(body_bytes).encode()))
    return pairs


def with_last_event_id(pairs, event_id):
    """Return header pairs that ask to resume a stream after event `event_id`."""
    kept = [pair for pair in pairs if pair[0] != _LAST_EVENT_ID]
    return [*kept, (_LAST_EVENT_ID, event_id.encode())]


def decode_response(status, headers, http_version=b"1.1"):
    """Return the `TargetResponse` for the head of a target's response."""
    connection = (_first(headers, b"connection") or b"").lower()
    encoding = _text(_first(headers, b"content-encoding")).lower()
    return TargetResponse(
        status=status,
        request_id=_only(headers, _REQUEST_ID),
        not_executed=_first(headers, _NOT_EXECUTED) is not None or status == 421,
        seal=_only(headers, _SEAL),
        is_marked=any(name in RESPONSE_MARKS for name, _ in headers),
        content_encoded=encoding not in ("", "identity"),
        event_stream=_text(_first(headers, b"content-type")).startswith(
            "text/event-stream"
        ),
        closes_connection=b"close" in connection or http_version == b"1.0",
        idle_timeout_s=_idle_timeout(_first(headers, b"keep-alive")),
        rate_limit=_limit(_first(headers, _RATE_LIMIT)),
        rejection_limit=_limit(_first(headers, _REJECTION_LIMIT)),
        is_leaving=status != 421 and _text(_first(headers, _LEAVING)) == "1",
        pause_s=_pause(_first(headers, b"retry-after")) if status == 503 else 0.0,
        headers=headers,
    )


def is_response_mark(name, value, request_ids):
    """Return whether a header proves the response of a target.

    `name` is in lower case. An id proves it if it is one of `request_ids`; texts about
    HTTP may have others.
    """
    if name == _REQUEST_ID:
        return _text(value) in request_ids
    return name in RESPONSE_MARKS


def _idle_timeout(value):
    for part in _text(value).split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and _is_count(number):
            return float(number)
    return None


def _limit(value):
    if value is None:
        return math.inf
    try:
        number = float(_text(value))
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def _pause(value):
    if value is None:
        return 0.0
    try:
        seconds = float(_text(value))
    except ValueError:
        return None
    return seconds if 0 <= seconds <= _MAX_PAUSE_S else None


def relayed_headers(response):
    """Return a target's headers for the caller, without those of the framing."""
    return [pair for pair in _end_to_end(response.headers) if pair[0] not in _FRAMING]
