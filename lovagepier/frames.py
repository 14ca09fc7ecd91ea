"""CBOR frames: [tag, correlation, is reply, field values...]."""

import io
from dataclasses import MISSING, dataclass, fields

import cbor2

__all__ = ["MAX_FRAME_BYTES", "CodecError", "Frame", "decode", "encode", "message"]

MAX_FRAME_BYTES = 4 << 20
_BY_TAG = {}
_TAG_OF = {}


class CodecError(ValueError):
    """The received bytes are not a valid frame of this protocol."""


@dataclass(slots=True, frozen=True)
class Frame:
    """One decoded frame; `correlation` 0 means that no answer is expected."""

    message: object
    correlation: int
    is_reply: bool


def message(tag):
    """Register a message dataclass under a tag, its permanent name on the wire.

    If the class has a method `check`, `decode` calls it to validate the fields. A
    field with a default value may be missing, as from a sender that does not know it.
    """

    def register(cls):
        if tag in _BY_TAG:
            raise ValueError(f"tag {tag} is registered twice")
        names = tuple(field.name for field in fields(cls))
        required = sum(
            field.default is MISSING and field.default_factory is MISSING
            for field in fields(cls)
        )
        _BY_TAG[tag] = (cls, names, required)
        _TAG_OF[cls] = (tag, names)
        return cls

    return register


def encode(body, correlation=0, is_reply=False):
    """Return the bytes of a frame that carries the message `body`."""
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
        raise CodecError("the frame is followed by extra bytes")
    return _frame(parts)


def _frame(parts):
    if not isinstance(parts, list) or len(parts) < 3:
        raise CodecError("the frame is not a list of at least three items")
    tag, correlation, is_reply, *values = parts
    if not isinstance(tag, str) or tag not in _BY_TAG:
        raise CodecError("the frame has an unknown tag")
    cls, names, required = _BY_TAG[tag]
    if not isinstance(correlation, int) or not isinstance(is_reply, bool):
        raise CodecError("the frame's correlation or reply flag is malformed")
    if not required <= len(values) <= len(names):
        raise CodecError(f"{tag} has {len(values)} fields, {len(names)} expected")
    body = cls(*values)
    check = getattr(body, "check", None)
    if check is not None:
        try:
            check()
        except (TypeError, ValueError, KeyError, IndexError, AttributeError):
            raise CodecError(f"{tag} has a field of the wrong type")
    return Frame(body, correlation, is_reply)
