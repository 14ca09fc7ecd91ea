"""Finds a second response where the rest of a first one is due.

A target that breaks off and answers again writes its second response inside the head
of the first one, or inside its body: the framing of a body counts its bytes, whatever
they are.
"""

import re

from lovagepier.entry._targets.head_patterns import (
    HEAD_START,
    HEADER_NAME,
    STATUS,
    partial_status,
)
from lovagepier.entry._targets.parsers import MAX_HEAD_BYTES
from lovagepier.platform import RESPONSE_MARKS

__all__ = ["find_second_response", "holds_head", "is_head_of_two"]

_HEADER_LINE = re.compile(HEADER_NAME.pattern + rb":")
# The end of a line before one that is no header, or blank.
_NO_HEADER = re.compile(rb"\n(?!" + _HEADER_LINE.pattern + rb"|[ \t][^\S\n]*\S)")
_LAST_STATUS = re.compile(rb"(?s:.*)" + STATUS.pattern)
_MARK = re.compile(rb"\n(?i:(" + b"|".join(sorted(RESPONSE_MARKS)) + rb")):")
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
    if STATUS.search(event.reason):
        return True
    return any(STATUS.search(value) for _, value in event.headers)


def holds_head(event, behind):
    """Return whether a server-sent event holds the head of a response.

    That is a status line which is followed by lines that no event has, or one that ends
    the event. Texts about HTTP have the name of a field before each of their lines.
    `behind` are the bytes that follow the event: None is returned if they are too few
    to tell.
    """
    found = STATUS.search(event)
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
    if STATUS.search(event, start) is None:
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
    if HEAD_START not in body and partial_status(body) is None:
        return False
    data = body + rest[:MAX_HEAD_BYTES]
    size = len(body)
    if HEAD_START in body and _holds_marked_head(data, size, is_mark):
        return True
    return (True if rest else None) if _is_head_at_end(data, size) else False


def _holds_marked_head(data, size, is_mark):
    """Return whether a header that is a mark stands in a head.

    `size` is the length of the body that `data` begins with. Marks are rarer than
    status lines, so that the search begins with them.
    """
    # Where a status line may begin, and how far marks were searched for.
    begin = position = data.find(HEAD_START)
    while begin >= 0 and (found := _MARK.search(data, position)):
        line = found.start() + 1
        if line > size:
            break
        position = found.end()
        value = data[position : _end_of_line(data, position)]
        if is_mark(found[1].lower(), value.strip()):
            if _is_head_before(data, line, begin):
                return True
            # What breaks a head before this line breaks it for later ones.
            begin = position = data.find(HEAD_START, line)
    return False


def _is_head_at_end(data, size):
    """Return whether a body ends in a head, or in the start of one."""
    line = data.rfind(b"\n", 0, size) + 1
    if line == size:
        last = data.rfind(b"\n", 0, size - 1) + 1
        if not data[last:size].strip():
            return _is_head_before(data, last, 0)
    found = STATUS.search(data, line)
    begun = found.start() if found else partial_status(data)
    if begun is not None and begun < size:
        return True
    is_text = _is_text(data[line : _end_of_line(data, line)])
    return not is_text and _is_head_before(data, line, 0)


def _is_text(line):
    """Return whether a line is neither a header, or a part of one, nor blank."""
    is_whole = line.endswith(b"\n") and line.strip()
    return is_whole and line[:1] not in b" \t" and not _HEADER_LINE.match(line)


def _is_head_before(data, line, begin):
    """Return whether headers only stand between a status line and the start of a line.

    The status line begins at `begin` or later. More than a head may have are text.
    """
    found = _LAST_STATUS.match(data, max(begin, line - MAX_HEAD_BYTES), line)
    if found is None:
        return False
    end = _end_of_line(data, found.end())
    return _NO_HEADER.search(data, end - 1, line - 1) is None


def _end_of_line(data, position):
    end = data.find(b"\n", position)
    return len(data) if end < 0 else end + 1
