"""Bounded reading of documents that any writer may have left in the store.

What passes is safe for arithmetic, keys, headers, log lines and frames to peers.
"""

import json

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "DocumentError",
    "check_number",
    "is_key",
    "load_configuration",
    "load_document",
    "read_name",
    "read_text",
    "read_whole",
]

# Documents other than the configuration describe one thing and are short.
MAX_DOCUMENT_BYTES = 32 * 1024
# These documents have at most three levels.
MAX_DEPTH = 16
MAX_TEXT_CHARS = 200
MAX_KEY_BYTES = 200


class DocumentError(ValueError):
    """A document in the store that is not JSON or lacks the expected fields."""


def _reject_constant(name):
    raise ValueError(f"{name} is not a number")


def _unique(pairs):
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ValueError("a field is given twice")
    return fields


def _is_deeper(value, levels):
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return False
    return levels == 0 or any(_is_deeper(each, levels - 1) for each in value)


def _load(data, pairs_hook):
    try:
        document = json.loads(
            data, parse_constant=_reject_constant, object_pairs_hook=pairs_hook
        )
    except (ValueError, RecursionError) as exc:
        raise DocumentError(f"is not JSON: {type(exc).__name__}")
    if not isinstance(document, dict):
        raise DocumentError("is not an object")
    return document


def load_document(data):
    """Return the fields of a short document; raise `DocumentError`."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise DocumentError(f"has {len(data)} bytes")
    document = _load(data, _unique)
    if _is_deeper(document, MAX_DEPTH):
        raise DocumentError("is nested too deeply")
    return document


def load_configuration(data):
    """Return the fields of a configuration document; raise `DocumentError`."""
    return _load(data, None)


def read_text(raw, name):
    """Return a field that is a text of printable characters; raise ValueError."""
    value = raw[name]
    if not isinstance(value, str):
        raise ValueError(f"{name} is not a text")
    if len(value) > MAX_TEXT_CHARS or not value.isprintable():
        raise ValueError(f"{name} is too long or not printable")
    return value


def read_name(value):
    """Return a text that can be a part of a key and a header; raise ValueError."""
    if not value or not value.isprintable() or "/" in value or " " in value:
        raise ValueError("a name is empty or has characters that names don't have")
    return value


def read_whole(raw, name, least, most):
    """Return a field that is a whole number within bounds; raise ValueError."""
    value = raw[name]
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{name} is not a whole number")
    if not least <= value <= most:
        raise ValueError(f"{name} is out of range")
    return value


def check_number(raw, name, most):
    """Raise ValueError if a field is there and is no number from 0 to `most`."""
    value = raw.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{name} is not a number")
    if not 0 <= value <= most:
        raise ValueError(f"{name} is out of range")


def is_key(text):
    """Return whether a text can be a key of the store."""
    if len(text) > MAX_KEY_BYTES:
        return False
    try:
        return len(text.encode()) <= MAX_KEY_BYTES
    except UnicodeEncodeError:
        return False
