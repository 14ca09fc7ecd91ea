"""Searches a body for heads of responses, in time linear in its length."""

import re
from collections import deque

from lovagepier.entry._targets.head_patterns import (
    HEAD_START,
    HEADER_NAME,
    STATUS,
    may_be_begun,
    partial_status,
)
from lovagepier.entry._targets.parsers import MAX_HEAD_BYTES

__all__ = ["HeadSearch"]

# A head may begin at each of several places that share its end. Only so many of the
# first and of the last ones are considered.
MAX_STARTS = 4

# A line of a head, or what is there of it.
_HEAD_LINE = re.compile(HEADER_NAME.pattern + rb"(?::|\r?\n?\Z)|[ \t]|\r?\n?\Z")


class HeadSearch:
    """Holds back the bytes of a body that may be a head until that is known.

    `is_head(data)` tells whether the lines from a status line to a blank one are a head
    that is searched for.
    """

    __slots__ = ("_base", "_held", "_is_head", "_line", "_open", "_searched", "_starts")

    def __init__(self, is_head):
        self._is_head = is_head
        self._held = b""
        # Offsets in the body: of `_held`, of the line that is not complete, and up to
        # which the search is done.
        self._base = 0
        self._line = 0
        self._searched = 0
        # Where a status line begins, followed by nothing but lines of headers, and
        # where one may begin in the line that is not complete.
        self._open = deque()
        self._starts = deque()

    @property
    def is_inside_head(self):
        """Whether the delayed bytes have the start of a head."""
        return self._held.startswith(HEAD_START)

    def feed(self, data):
        """Return (bytes that are in no head, bytes from a head's start on or None)."""
        end = self._base + len(self._held)
        self._held += data
        while True:
            if not self._open and not self._starts:
                end = max(end, self._skip())
            newline = self._held.find(b"\n", end - self._base)
            if newline < 0:
                return self._take(self._first_needed()), None
            end = self._base + newline + 1
            start = self._end_line(end)
            if start is not None:
                return self._take(start), self._take(self._base + len(self._held))

    def rest(self):
        """Return the bytes that are still delayed."""
        return self._take(self._base + len(self._held))

    def _skip(self):
        """Go on to the next place where a head may begin; return it."""
        found = self._held.find(HEAD_START, self._searched - self._base)
        if found < 0:
            found = self._partial_start()
        self._line = self._searched = max(self._searched, self._base + found)
        return self._searched

    def _end_line(self, end):
        """Read the line before `end`; return where a head begins that it ends."""
        start = None
        if self._open:
            line = self._slice(self._line, end)
            if line in (b"\r\n", b"\n"):
                start = self._find_start(end)
                self._open.clear()
            elif not _HEAD_LINE.match(line):
                self._open.clear()
        self._search(end)
        self._drop_broken(end - 1)
        self._open.extend(self._starts)
        self._starts.clear()
        self._line = self._searched = end
        return start

    def _drop_broken(self, end):
        """Drop the status lines up to `end` that have a CR before their end."""
        if not self._starts:
            return
        last = end - self._base
        last -= self._held.endswith(b"\r", 0, last)
        found = self._held.rfind(b"\r", self._starts[0] - self._base, last)
        while found >= 0 and self._starts and self._starts[0] < self._base + found:
            self._starts.popleft()

    def _find_start(self, end):
        starts = [each for each in self._open if end - each <= MAX_HEAD_BYTES]
        if len(starts) > 2 * MAX_STARTS:
            starts = starts[:MAX_STARTS] + starts[-MAX_STARTS:]
        for start in starts:
            if self._is_head(self._slice(start, end)):
                return start
        return None

    def _search(self, end):
        """Search for status lines that begin in the line that is read up to `end`."""
        last = end - self._base
        position = self._searched - self._base
        while (position := self._held.find(HEAD_START, position, last)) >= 0:
            if may_be_begun(self._held, position):
                self._searched = self._base + position
                return
            if STATUS.match(self._held, position):
                self._starts.append(self._base + position)
            position += len(HEAD_START)
            self._searched = self._base + position

    def _first_needed(self):
        """Return from where on bytes must be delayed."""
        whole = self._base + len(self._held)
        if self._open and not _HEAD_LINE.match(self._slice(self._line, whole)):
            self._open.clear()
        self._search(whole)
        self._drop_broken(whole)
        if not self._held.startswith(HEAD_START, self._searched - self._base):
            unsearched = self._base + self._partial_start()
            self._searched = max(self._searched, unsearched)
        needed = self._searched
        for starts in (self._open, self._starts):
            while starts and whole - starts[0] > MAX_HEAD_BYTES:
                starts.popleft()
            if starts:
                needed = min(needed, starts[0])
        return needed

    def _partial_start(self):
        """Return the offset in `_held` from where on a status line may begin."""
        found = partial_status(self._held)
        return len(self._held) if found is None else found

    def _slice(self, start, end):
        return self._held[start - self._base : end - self._base]

    def _take(self, end):
        taken = self._held[: end - self._base]
        self._held = self._held[len(taken) :]
        self._base += len(taken)
        return taken
