"""Finds a second response where the rest of a first one is due.

A target that breaks off and answers again writes its second response inside the head
of the first one, or inside its body: the framing of a body counts its bytes, whatever
they are.
"""

import re

from lovagepier.entry._targets.head_search import HEAD_START
from lovagepier.entry._targets.parsers import MAX_HEAD_BYTES

__all__ = ["find_second_response", "holds_head", "is_head_of_two"]

_STATUS = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?=[ \r\n]|\Z)")
# The start of a status line at the end of what was read.
_PARTIAL_STATUS = re.compile(
    rb"H(?:T(?:T(?:P(?:/(?:1(?:\.(?:[01](?: [0-9]{0,3})?)?)?)?)?)?)?)?\Z"
)
_MAX_PARTIAL = len(b"HTTP/1.1 200")
_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:")
_LINE_END = re.compile(rb"\r\n|\r|\n")
# A line of a server-sent event with a known field, or a comment.
_EVENT_LINE = re.compile(rb"(?:data|event|id|retry)?:|(?:data|event|id|retry)\Z")
# Lines of an event whose values are no text.
_NUMBER_LINE = re.compile(rb"(?:id|retry):")
# The end of a line that is not that of a head's lines.
_PLAIN_LINE_END = re.compile(rb"(?<!\r)\n|\r(?!\n)")
_HEAD_END = b"\r\n\r\n"


def is_head_of_two(event):
    """Return whether the head that h11 has read is one of two responses.

    The first one was cut inside its reason or a header's value, where a status line
    is valid.
    """
    if _STATUS.search(event.reason):
        return True
    return any(_STATUS.search(value) for _, value in event.headers)


def holds_head(event, behind):
    """Return whether a server-sent event holds the head of a response.

    That is a status line which is followed by lines that no event has, or one that ends
    the event. Texts about HTTP have the name of a field before each of their lines.
    `behind` are the bytes that follow the event: None is returned if they are too few
    to tell.
    """
    found = _STATUS.search(event)
    if found is None:
        return False
    lines = _LINE_END.split(event[_line_start(event, found.start()) :])
    if any(line and not _EVENT_LINE.match(line) for line in lines):
        return True
    return _ends_in_head(event, behind)


def _ends_in_head(event, behind):
    """Return whether an event ends in a head without headers, None if not certain.

    Such a head is of an interim response, so that another one follows. A target that
    ends its lines otherwise shows it before.
    """
    if not event.endswith(_HEAD_END):
        return False
    start = _line_start(event, len(event) - len(_HEAD_END))
    if _STATUS.search(event, start) is None:
        return False
    if _PLAIN_LINE_END.search(event, 0, start) or _NUMBER_LINE.match(event, start):
        return True
    if len(behind) < len(HEAD_START) and HEAD_START.startswith(behind):
        return None
    return behind.startswith(HEAD_START)


def _line_start(event, position):
    """Return where the line of an event that holds `position` begins."""
    return max(event.rfind(b"\n", 0, position), event.rfind(b"\r", 0, position)) + 1


def find_second_response(body, rest, is_mark):
    """Return whether a framed body holds another response, None if that is not certain.

    `rest` are the bytes that follow the body on its connection. `is_mark(name, value)`
    tells whether a header proves a target's response. Without one a head is text,
    unless it goes on behind the body's end. It is not certain where the body ends in
    what may be a head, and nothing follows yet.
    """
    if HEAD_START not in body and not _PARTIAL_STATUS.search(body[-_MAX_PARTIAL:]):
        return False
    data = body + rest[:MAX_HEAD_BYTES]
    position = 0
    while found := _STATUS.search(data, position):
        if found.start() >= len(body):
            return False
        position = _end_of_line(data, found.end())
        position, is_found = _read_lines(data, position, len(body), is_mark)
        if is_found is not False:
            return is_found
    tail = max(len(data) - _MAX_PARTIAL, position)
    found = _PARTIAL_STATUS.search(data[tail:])
    if found is None or tail + found.start() >= len(body):
        return False
    return True if rest else None


def _read_lines(data, position, size, is_mark):
    """Read the headers behind a status line; return (position, whether it is found).

    `size` is the length of the body that `data` begins with. More lines than a head may
    have are text.
    """
    begin = position
    while position <= size:
        if position == len(data):
            return position, None
        end = _end_of_line(data, position)
        line = data[position:end]
        if not line.strip():
            # What follows a head that ends with the body is its own, or the next one.
            is_found = len(data) > size or None
            return end, False if end < size else is_found
        is_partial = not line.endswith(b"\n")
        if not (is_partial or line[:1] in b" \t" or _HEADER_LINE.match(line)):
            return position, False
        if HEAD_START in line:
            begin = position + line.rfind(HEAD_START)
        if end - begin > MAX_HEAD_BYTES:
            return end, False
        name, _, value = line.partition(b":")
        if is_mark(name.lower(), value.strip()):
            return end, True
        position = end
    return position, True


def _end_of_line(data, position):
    end = data.find(b"\n", position)
    return len(data) if end < 0 else end + 1
