"""CBOR frames: [tag, correlation, reply flag, fields...]."""

import io
from dataclasses import dataclass, fields

import cbor2

__all__ = ["CodecError", "Frame", "decode", "encode", "message"]

MAX_FRAME_BYTES = 4 << 20
_BY_TAG = {}
_TAG_OF = {}


class CodecError(ValueError):
    """Bytes from the peer port that are not a frame of ours."""


@dataclass(slots=True, frozen=True)
class Frame:
    """One decoded frame; `correlation` 0 means that no answer is awaited."""

    message: object
    correlation: int
    is_reply: bool


def message(tag):
    """Register a message dataclass under a short, permanent tag."""

    def register(cls):
        if tag in _BY_TAG:
            raise ValueError(f"tag {tag} stands twice")
        names = tuple(field.name for field in fields(cls))
        _BY_TAG[tag] = (cls, names)
        _TAG_OF[cls] = (tag, names)
        return cls

    return register


def encode(body, correlation=0, is_reply=False):
    """Return the frame's bytes."""
    tag, names = _TAG_OF[type(body)]
    values = [getattr(body, name) for name in names]
    return cbor2.dumps([tag, correlation, is_reply, *values])


def decode(data):
    """Return the `Frame` in `data`; raise `CodecError` for anything else."""
    if not isinstance(data, bytes) or len(data) > MAX_FRAME_BYTES:
        raise CodecError("not a binary frame within the size limit")
    stream = io.BytesIO(data)
    try:
        parts = cbor2.load(stream)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        RecursionError,
        OverflowError,
    ):
        raise CodecError("the frame is not CBOR")
    if stream.read(1):
        raise CodecError("the frame has bytes after its end")
    return _frame(parts)


def _frame(parts):
    if not isinstance(parts, list) or len(parts) < 3:
        raise CodecError("the frame is not a list")
    tag, correlation, is_reply, *values = parts
    if not isinstance(tag, str) or tag not in _BY_TAG:
        raise CodecError("the frame's tag is unknown")
    cls, names = _BY_TAG[tag]
    if not isinstance(correlation, int) or not isinstance(is_reply, bool):
        raise CodecError("the frame's head is malformed")
    if len(values) != len(names):
        raise CodecError(f"{tag} has {len(values)} fields, {len(names)} expected")
    body = cls(*values)
    check = getattr(body, "check", None)
    if check is not None:
        try:
            check()
        except (TypeError, ValueError, KeyError, IndexError, AttributeError):
            raise CodecError(f"{tag} has a field of the wrong kind")
    return Frame(body, correlation, is_reply)
