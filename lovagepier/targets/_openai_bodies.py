"""Checks that a body has the form of an answer of the OpenAI API.

The API has no id that an engine must repeat. Bytes of another response within the
framing of a body show by its grammar only.
"""

import json
import re

from lovagepier.targets._port import TargetBroken

__all__ = ["END_MARKER", "checked_json", "whole_events"]

END_MARKER = b"data: [DONE]"
# Longer events are passed on as they come, without a check.
MAX_EVENT_BYTES = 256 * 1024
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_END_BYTES = 4
# A field that the format names, a comment or nothing.
_LINE = re.compile(rb"(?:data|event|id|retry)?(?::|\r?\Z)")


def checked_json(chunks):
    """Yield all bytes of `chunks`; raise `TargetBroken` if they are not JSON."""
    body = b"".join(chunks)
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        raise TargetBroken("the answer is not JSON")
    yield body


def whole_events(chunks, is_checked=True):
    """Yield the events of a stream, each once it is whole.

    Raise `TargetBroken` at one that has lines of another kind, such as the head of a
    response. The first event is passed on without a check unless `is_checked`: a
    stream that is resumed may begin inside one. An event without its blank line at the
    end is dropped, unless it is `END_MARKER`.
    """
    pending = b""
    for chunk in chunks:
        start = max(0, len(pending) - _EVENT_END_BYTES)
        pending += chunk
        end = 0
        for found in _EVENT_END.finditer(pending, start):
            if is_checked:
                _check_event(pending[end : found.end()])
            is_checked = True
            end = found.end()
        if len(pending) - end > MAX_EVENT_BYTES:
            is_checked = False
            end = len(pending)
        if end:
            yield pending[:end]
            pending = pending[end:]
    if pending and (not is_checked or pending.strip() == END_MARKER):
        yield pending


def _check_event(event):
    for line in event.split(b"\n"):
        if not _LINE.match(line):
            raise TargetBroken("the stream has lines that are no event")
