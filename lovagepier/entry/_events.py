"""Split a byte stream of server-sent events into whole events."""

import re

__all__ = ["EventSplitter", "EventTooLong"]

# Bytes without the end of an event that still count as one; more are no stream.
MAX_EVENT_BYTES = 256 * 1024

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
# Longest separator of events, in bytes.
_MAX_SEPARATOR = 4
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class EventTooLong(Exception):
    """The bytes of a stream do not contain the end of an event."""


class EventSplitter:
    """Collects bytes into whole events and keeps the last event's id.

    With `skip` it drops events up to and including `last_id`, if that is a
    number: a target that resumes a stream may repeat them. `count` is the number
    of events returned.
    """

    __slots__ = ("_buffer", "_searched", "_skip_to", "count", "last_id")

    def __init__(self, last_id="", skip=False):
        self._buffer = b""
        self._searched = 0
        self.last_id = last_id
        self._skip_to = int(last_id) if skip and last_id.isdigit() else None
        self.count = 0

    @property
    def incomplete(self):
        """The bytes of an event whose end has not arrived yet."""
        return self._buffer

    def feed(self, data):
        """Return the bytes of all events that `data` completes, empty if none.

        Raise `EventTooLong` if `data` completes none and the incomplete event exceeds
        `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        complete = []
        start = 0
        # A separator may have begun in the bytes that were searched before.
        for match in _END.finditer(self._buffer, self._searched):
            event = self._buffer[start : match.end()]
            start = match.end()
            if self._accept(event):
                complete.append(event)
        self._buffer = self._buffer[start:]
        self._searched = max(len(self._buffer) - _MAX_SEPARATOR + 1, 0)
        if not complete and len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"no end of an event in {len(self._buffer)} bytes")
        return b"".join(complete)

    def _accept(self, event):
        found = _ID.search(event)
        if found is not None:
            event_id = found[1].decode("latin-1").strip()
            if self._is_duplicate(event_id):
                return False
            self.last_id = event_id
        self.count += 1
        return True

    def _is_duplicate(self, event_id):
        return (
            self._skip_to is not None
            and event_id.isdigit()
            and int(event_id) <= self._skip_to
        )
