"""Bodies without a length or chunks, which end with their connection.

A target that answers twice writes its second response where only the first one's body
can be. The head of such a response ends the body.
"""

import re

import h11
import xxhash

from lovagepier.logs import component_logger
from lovagepier.platform import decode_response

__all__ = ["SecondResponse", "UndelimitedBody", "is_undelimited"]

# Limit on the head of a second response.
MAX_HEAD_BYTES = 64 * 1024
# Times that a response may be repeated.
MAX_COPIES = 4

_HEAD_START = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?: [^\r\n]*)?\r?\n?")
_STATUS_SAMPLE = b"HTTP/1.1 200"
_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+(?::.*)?|[ \t].*")

_log = component_logger("targets")


class SecondResponse(Exception):
    """Another response, or a part of one, was found in a body.

    Where the body itself ends is not certain.
    """


def is_undelimited(event):
    """Return whether the body of an `h11.Response` ends with its connection."""
    names = {name for name, _ in event.headers}
    is_delimited = b"transfer-encoding" in names or b"content-length" in names
    return not is_delimited and event.status_code not in (204, 304)


class UndelimitedBody:
    """Passes on the body of `response`, a `TargetResponse`, up to a second response.

    If that is the same once more, the body is known to be whole. Any other raises
    `SecondResponse`. Only heads that bear a target's marks count as responses: the body
    may well be a text about HTTP.
    """

    __slots__ = ("_copies_left", "_copy", "_digest", "_held", "_response", "_size")

    def __init__(self, response, copies_left=MAX_COPIES):
        self._response = response
        self._copies_left = copies_left
        self._size = 0
        self._held = b""
        self._copy = None
        self._digest = xxhash.xxh3_128()

    def feed(self, data):
        """Return the bytes that belong to the body, empty if that is not known yet."""
        if self._copy is not None:
            self._copy.feed(data)
            return b""
        held = self._held + data
        searched = 0
        while (start := held.find(_HEAD_START, searched)) >= 0:
            end = _find_head_end(held, start)
            if end is None:
                self._held = held[start:]
                return self._pass(held[:start])
            second = _parse_head(held[start:end])
            if second is not None and second.is_marked:
                passed = self._pass(held[:start])
                self._held = b""
                self._begin_copy(second)
                self._copy.feed(held[start:])
                return passed
            searched = start + len(_HEAD_START)
        kept = _partial_start(held)
        self._held = held[len(held) - kept :]
        return self._pass(held[: len(held) - kept])

    def end(self):
        """Return the last bytes of the body once its connection has ended cleanly."""
        if self._copy is not None:
            if self._copy.end() != self._digest.digest():
                raise SecondResponse("a body and its copy differ")
            return b""
        if self._held.startswith(_HEAD_START):
            raise SecondResponse("a body ends in the head of a response")
        rest, self._held = self._held, b""
        return self._pass(rest)

    def _begin_copy(self, second):
        first = self._response
        is_copy = _agree(first, second) and self._copies_left > 0
        _log.info(
            "found a second response inside a body",
            request=first.request_id,
            named=second.request_id,
            status=second.status,
            is_copy=is_copy,
        )
        if not is_copy:
            raise SecondResponse("a second response inside a body")
        self._copy = _Copy(self._size, self._copies_left - 1)

    def _pass(self, data):
        self._digest.update(data)
        self._size += len(data)
        return data


class _Copy:
    """Hashes the body of a response that repeats one with a body of `size` bytes."""

    __slots__ = (
        "_body",
        "_bytes_left",
        "_copies_left",
        "_digest",
        "_http",
        "_is_complete",
    )

    def __init__(self, size, copies_left):
        self._bytes_left = size
        self._copies_left = copies_left
        self._http = _parser()
        self._body = None
        self._digest = xxhash.xxh3_128()
        self._is_complete = False

    def feed(self, data):
        """Parse bytes; raise `SecondResponse` if they are no single response."""
        if self._is_complete and data:
            raise SecondResponse("bytes after the copy of a response")
        try:
            self._http.receive_data(data)
            while not self._is_complete:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    return
                self._on_event(event)
        except h11.RemoteProtocolError as exc:
            raise SecondResponse(f"the copy of a response: {exc}")
        if self._http.trailing_data[0]:
            raise SecondResponse("bytes after the copy of a response")

    def _on_event(self, event):
        if isinstance(event, h11.Response) and is_undelimited(event):
            self._body = UndelimitedBody(_decode(event), self._copies_left)
        elif isinstance(event, h11.Data):
            data = bytes(event.data)
            self._add(self._body.feed(data) if self._body else data)
        elif isinstance(event, h11.EndOfMessage):
            if self._body is not None:
                self._add(self._body.end())
            self._is_complete = True

    def _add(self, data):
        self._bytes_left -= len(data)
        if self._bytes_left < 0:
            raise SecondResponse("a body and its copy differ")
        self._digest.update(data)

    def end(self):
        """Return the hash of the copy's body; raise `SecondResponse` if it is cut."""
        if not self._is_complete:
            self.feed(b"")
        if not self._is_complete:
            raise SecondResponse("the copy of a response is cut")
        return self._digest.digest()


def _agree(first, second):
    return (first.status, first.request_id, first.seal, first.not_executed) == (
        second.status,
        second.request_id,
        second.seal,
        second.not_executed,
    )


def _find_head_end(data, start):
    """Return where a head that begins at `start` ends, None if that is not known yet.

    It ends where `data` shows that it is no head.
    """
    sample = data[start : start + len(_STATUS_SAMPLE)]
    if len(sample) < len(_STATUS_SAMPLE):
        padded = sample + _STATUS_SAMPLE[len(sample) :]
        return None if _STATUS_LINE.match(padded) else start + len(_HEAD_START)
    position = start
    is_first = True
    while position - start <= MAX_HEAD_BYTES:
        newline = data.find(b"\n", position)
        line = data[position : newline if newline >= 0 else None].removesuffix(b"\r")
        pattern = _STATUS_LINE if is_first else _HEADER_LINE
        if not line and not is_first and newline >= 0:
            return newline + 1
        if line and not pattern.fullmatch(line):
            return position
        if newline < 0:
            return None if len(line) <= MAX_HEAD_BYTES else position
        position = newline + 1
        is_first = False
    return position


def _parse_head(data):
    """Return the `TargetResponse` of a head, None if it is none."""
    http = _parser()
    try:
        http.receive_data(data)
        event = http.next_event()
    except h11.RemoteProtocolError:
        return None
    return _decode(event) if isinstance(event, h11.Response) else None


def _parser():
    http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    http.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"-")]))
    http.send(h11.EndOfMessage())
    return http


def _decode(event):
    return decode_response(event.status_code, list(event.headers), event.http_version)


def _partial_start(data):
    """Return how many bytes at the end of `data` may be the start of a head."""
    for length in range(len(_HEAD_START) - 1, 0, -1):
        if data.endswith(_HEAD_START[:length]):
            return length
    return 0
