"""Split a byte stream of server-sent events into whole events."""

import re

from lovagepier.entry._targets.head_patterns import HEAD_START
from lovagepier.entry._targets.second_response import holds_head

__all__ = ["EventSplitter", "EventTooLong", "EventTruncated", "NotContinued"]

# Bytes without the end of an event that still count as one; more are no stream.
MAX_EVENT_BYTES = 256 * 1024
# Digits of an event id that is read as a number.
MAX_ID_DIGITS = 18

# A line end and a blank line, each of CRLF, LF or CR. A CR after an LF may be the first
# half of a CRLF.
_END = re.compile(rb"\r\n\r\n|\r\n\n|\n\r\n|\n\n|\r\r|\n\r(?=[^\n])")
# Longest separator of events, in bytes.
_MAX_SEPARATOR = 4
_ID = re.compile(rb"(?:^|[\r\n])id(?::[ ]?([^\r\n]*)|(?=[\r\n]))")
# The begin of a line that is neither blank nor a comment.
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")


class EventTooLong(Exception):
    """The bytes of a stream do not contain the end of an event."""


class EventTruncated(Exception):
    """A stream ended inside an event."""


class _Misplaced(Exception):
    """An event has no place in the stream of its target."""


class NotContinued(Exception):
    """A resumed stream does not go on where the one before it broke off."""


class EventSplitter:
    """Collects bytes into whole events and keeps the last event's id.

    With `skip` the stream resumes another one that broke off after `last_id`: events
    up to that one are dropped, and the first new event must be the next one: its id is
    higher by `step` at most, the largest step between two events of the broken stream.
    `count` is the number of events returned, `can_resume` tells whether a stream could
    be resumed after the last one. `fault` tells why an event, and all after it, is not
    returned: its id does not follow, or it holds the head of another response. It is
    empty while there is none.
    """

    __slots__ = (
        "_buffer",
        "_has_joined",
        "_inherits_step",
        "_is_held",
        "_last_number",
        "_resumes",
        "_searched",
        "can_resume",
        "count",
        "fault",
        "last_id",
        "step",
    )

    def __init__(self, last_id="", skip=False, step=0):
        self._buffer = b""
        self._searched = 0
        # Whether the buffer begins with a whole event that may end in a head.
        self._is_held = False
        self.last_id = last_id
        # Without an id there is nothing to skip: the stream begins anew.
        self._resumes = skip and bool(last_id)
        self._has_joined = not self._resumes
        self._inherits_step = self._resumes and step > 0
        self.step = step if self._inherits_step else 1
        self.can_resume = not last_id or _number(last_id) is not None
        self.count = 0
        self.fault = ""
        # The last number among the ids of this target's events.
        self._last_number = None

    @property
    def incomplete(self):
        """The bytes of an event whose end, or what follows it, has not arrived yet."""
        return self._buffer

    def feed(self, data):
        """Return the bytes of all events that `data` completes, empty if none.

        Raise `EventTooLong` if `data` completes none and the incomplete event exceeds
        `MAX_EVENT_BYTES`, and `NotContinued` if the stream resumes another one and its
        first new event is not the next one.
        """
        if self.fault:
            return b""
        self._buffer += data
        complete = []
        start = 0
        self._is_held = False
        # A separator may have begun in the bytes that were searched before.
        for match in _END.finditer(self._buffer, self._searched):
            event = self._buffer[start : match.end()]
            try:
                if self._must_wait(event, match.end()):
                    self._is_held = True
                    self._searched = match.start() - start
                    break
                start = match.end()
                if self._accept(event):
                    complete.append(event)
            except _Misplaced as exc:
                self.fault = str(exc)
                return b"".join(complete)
        self._buffer = self._buffer[start:]
        if self._is_held:
            return b"".join(complete)
        self._searched = max(len(self._buffer) - _MAX_SEPARATOR + 1, 0)
        if not complete and len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"no end of an event in {len(self._buffer)} bytes")
        return b"".join(complete)

    def _must_wait(self, event, end):
        """Return whether more bytes behind the event's `end` must tell what it is.

        Raise `_Misplaced` if it holds the head of a response.
        """
        if HEAD_START not in event:
            return False
        is_head = holds_head(event, self._buffer[end : end + len(HEAD_START)])
        if is_head:
            raise _Misplaced("a second response inside an event")
        return is_head is None

    def finish(self):
        """Return the bytes that follow the last event at the end of the stream.

        These are blank lines, an event whose blank line is a CR, or one that waits for
        the bytes behind it. Raise `EventTruncated` for any other.
        """
        rest, self._buffer = self._buffer, b""
        is_whole = rest.endswith(b"\r\n" if self._is_held else b"\n\r")
        if rest.strip(b"\r\n") and not is_whole:
            raise EventTruncated(
                f"the stream ended after {len(rest)} bytes of an event"
            )
        try:
            # A CR at the end may be the half of a head's last line end.
            self._must_wait(rest + b"\n" if rest.endswith(b"\r") else rest, 0)
            return rest if self._accept(rest) else b""
        except _Misplaced as exc:
            self.fault = str(exc)
            return b""

    def check_joined(self):
        """Raise `NotContinued` if a resumed stream ends without proof of its place.

        That is the event after which it resumes, or the next one.
        """
        if not self._has_joined:
            raise NotContinued("the stream ended before its next event")

    def _accept(self, event):
        if not _FIELD.search(event):
            # Comments and blank lines have no place in the order of events.
            return not self._resumes
        event_id = _event_id(event)
        number = _number(event_id)
        if self._resumes and not self._joins(number):
            return False
        self._follow(event_id, number)
        self.count += 1
        return True

    def _joins(self, number):
        """Return whether an event is the next one, False for a repeated one."""
        last = _number(self.last_id)
        if number is None:
            raise NotContinued("an event without a number as its id")
        if number <= last:
            self._has_joined = self._has_joined or number == last
            return False
        if number > last + self.step:
            raise NotContinued(f"event {number} after event {last}")
        self._resumes = False
        self._has_joined = True
        return True

    def _follow(self, event_id, number):
        """Note an event as the last one; raise `_Misplaced` unless it may follow.

        Ids ascend, by no more than before: by the distance of the first one to the
        event that the stream begins after.
        """
        last = self._last_number
        if number is not None:
            if last is None or not self.can_resume:
                step = number - (_number(self.last_id) or 0)
            else:
                step = number - last
            is_beyond = self.can_resume and 0 < self.step < step
            if last is not None and (number <= last or is_beyond):
                raise _Misplaced(f"event {number} after event {last}")
            # A first id of 0 shows no step.
            step = max(step, 0)
            # The first event of a stream shows a step only until there is a second.
            is_first_step = self.count <= 1 and not self._inherits_step
            self.step = step if is_first_step else max(self.step, step)
            self._last_number = number
        self.can_resume = number is not None
        self.last_id = event_id


def _event_id(event):
    """Return the id of an event as text, empty if it has none."""
    found = _ID.findall(event)
    return found[-1].decode("latin-1").strip() if found else ""


def _number(event_id):
    if event_id.isascii() and event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS:
        return int(event_id)
    return None
