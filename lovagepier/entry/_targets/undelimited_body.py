"""Bodies without a length or chunks, which end with their connection.

A target that answers twice writes its second response where only the first one's body
can be. The head of such a response ends the body.
"""

import re

import h11
import xxhash

from lovagepier.entry._targets.errors import SecondResponseFound
from lovagepier.entry._targets.head_search import HeadSearch
from lovagepier.entry._targets.parsers import make_parser
from lovagepier.logs import component_logger
from lovagepier.platform import RESPONSE_MARKS, decode_response

__all__ = ["SecondResponse", "UndelimitedBody", "is_chunked", "is_undelimited"]

# Times that a response may be repeated.
MAX_COPIES = 4

_MARK = re.compile(rb"\n(?i:" + b"|".join(sorted(RESPONSE_MARKS)) + rb")[ \t]*:")

_log = component_logger("targets")


class SecondResponse(SecondResponseFound):
    """Another response, or a part of one, was found in a body.

    Where the body itself ends is not certain.
    """


def is_undelimited(event):
    """Return whether the body of an `h11.Response` ends with its connection."""
    names = {name for name, _ in event.headers}
    is_delimited = b"transfer-encoding" in names or b"content-length" in names
    return not is_delimited and event.status_code not in (204, 304)


def is_chunked(event):
    """Return whether the body of an `h11.Response` comes in chunks."""
    return any(name == b"transfer-encoding" for name, _ in event.headers)


class UndelimitedBody:
    """Passes on the body of `response`, a `TargetResponse`, up to a second response.

    If that is the same once more, the body is known to be whole. Any other raises
    `SecondResponse`. Only heads with a target's marks count as responses: the body
    may well be a text about HTTP.
    """

    __slots__ = ("_copies_left", "_copy", "_digest", "_response", "_search", "_size")

    def __init__(self, response, copies_left=MAX_COPIES):
        self._response = response
        self._copies_left = copies_left
        self._size = 0
        self._search = HeadSearch(_is_marked_head)
        self._copy = None
        self._digest = xxhash.xxh3_128()

    def feed(self, data):
        """Return the bytes that belong to the body, empty if that is not known yet."""
        if self._copy is not None:
            self._copy.feed(data)
            return b""
        data, second = self._search.feed(data)
        passed = self._pass(data)
        if second is not None:
            self._begin_copy(_parse_head(second))
            self._copy.feed(second)
        return passed

    def end(self):
        """Return the last bytes of the body once its connection has ended cleanly."""
        if self._copy is not None:
            if self._copy.end() != self._digest.digest():
                raise SecondResponse("a body and its copy differ")
            return b""
        if self._search.is_inside_head:
            raise SecondResponse("a body ends in the head of a response")
        return self._pass(self._search.rest())

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
        self._http = make_parser()
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


def _is_marked_head(data):
    # Parsing takes far longer than this look.
    if not _MARK.search(data):
        return False
    second = _parse_head(data)
    return second is not None and second.is_marked


def _parse_head(data):
    """Return the `TargetResponse` of a head, None if it is none."""
    http = make_parser()
    try:
        http.receive_data(data)
        event = http.next_event()
    except h11.RemoteProtocolError:
        return None
    return _decode(event) if isinstance(event, h11.Response) else None


def _decode(event):
    return decode_response(event.status_code, list(event.headers), event.http_version)
