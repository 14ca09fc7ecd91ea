"""Patterns of a response's head, for searches in bodies and events."""

import re

__all__ = [
    "HEADER_NAME",
    "HEAD_START",
    "STATUS",
    "may_be_begun",
    "partial_status",
]

HEAD_START = b"HTTP/1."
# The start of a status line, up to its status.
STATUS = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?=[ \r\n]|\Z)")
HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_PARTIAL_STATUS = re.compile(
    rb"H(?:T(?:T(?:P(?:/(?:1(?:\.(?:[01](?: [0-9]{0,3})?)?)?)?)?)?)?)?\Z"
)
_MAX_PARTIAL_BYTES = len(b"HTTP/1.1 200")


def partial_status(data):
    """Return where the start of a status line begins that `data` ends in, or None."""
    found = _PARTIAL_STATUS.search(data, max(len(data) - _MAX_PARTIAL_BYTES, 0))
    return found and found.start()


def may_be_begun(data, position):
    """Return whether a status line may begin at `position`, and `data` ends in it."""
    is_near_end = len(data) - position <= _MAX_PARTIAL_BYTES
    return is_near_end and _PARTIAL_STATUS.match(data, position) is not None
