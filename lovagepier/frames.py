"""CBOR frames: [tag, correlation, is reply, field values...].

Builds of different age talk to each other. What they send has a format, a number that
grows by one with a release that changes it. A tag and a field have the number of the
format since which they exist; a frame has only what the peer's format has, and a
reader skips what its build doesn't define.
"""

import io
from dataclasses import MISSING, dataclass, field, fields

import cbor2

__all__ = [
    "FORMAT",
    "MAX_FRAME_BYTES",
    "OLDEST_FORMAT",
    "CodecError",
    "EncodeError",
    "Frame",
    "NotInFormat",
    "decode",
    "encode",
    "field_count",
    "field_values",
    "from_values",
    "layouts",
    "message",
    "since",
]

# The format of this build, and the oldest one that it can talk to.
FORMAT = 7
OLDEST_FORMAT = 1
MAX_FRAME_BYTES = 4 << 20
_BY_TAG = {}
_BY_CLASS = {}


class CodecError(ValueError):
    """The received bytes are not a valid frame of this protocol."""


class EncodeError(ValueError):
    """A message has values that can't be encoded."""


class NotInFormat(EncodeError):
    """The peer's format has no such message, or can't express its content."""


@dataclass(slots=True)
class Frame:
    """One decoded frame; `correlation` 0 means that no answer is expected.

    `message` is None if the tag is not known here. `since` is the oldest format that
    has the frame's tag and fields, `skipped` the number of further fields.
    """

    message: object
    correlation: int
    is_reply: bool
    since: int = OLDEST_FORMAT
    skipped: int = 0


def since(number, default=MISSING, *, default_factory=MISSING, essential=False):
    """Return a dataclass field that exists since format `number`.

    A message whose field is `essential` is not sent to a peer that lacks it, unless the
    field has its default value: without the field it would mean something else.
    """
    return field(
        default=default,
        default_factory=default_factory,
        metadata={"since": number, "essential": essential},
    )


class Layout:
    """How one message is sent: its tag, and its fields by format.

    `counts` holds the number of fields in each format from 1 to `FORMAT`, None for a
    format without the tag, `required` those of the oldest one, `since_by_count` the
    oldest format that has so many fields. `reshape(value, number)` functions by field
    name give the values for formats older than this build's.
    """

    __slots__ = (
        "_essential",
        "_newest",
        "_reshape",
        "cls",
        "counts",
        "names",
        "required",
        "since",
        "since_by_count",
        "tag",
    )

    def __init__(self, tag, cls, number, reshape):
        own = fields(cls)
        self.tag = tag
        self.cls = cls
        self.since = number
        self.names = tuple(each.name for each in own)
        field_since = [max(each.metadata.get("since", number), number) for each in own]
        if field_since != sorted(field_since):
            raise ValueError(f"{tag}: newer fields come last")
        self._reshape = [
            (index, reshape[name])
            for index, name in enumerate(self.names)
            if name in reshape
        ]
        self._essential = [
            (index, each.default)
            for index, each in enumerate(own)
            if each.metadata.get("essential")
        ]
        self._newest = FORMAT if reshape else max([number, *field_since])
        self.counts = [None] * (number - 1) + [
            sum(each <= at for each in field_since) for at in range(number, FORMAT + 1)
        ]
        self.since_by_count = [number, *field_since]
        self.required = self.counts[max(number, OLDEST_FORMAT) - 1]

    def values(self, body, number):
        """Return the field values for a format; raise `NotInFormat`."""
        values = [getattr(body, name) for name in self.names]
        if number >= self._newest:
            return values
        count = self.counts[number - 1]
        if count is None:
            raise NotInFormat(f"format {number} has no {self.tag}")
        for index, default in self._essential:
            if index >= count and values[index] != default:
                name = self.names[index]
                raise NotInFormat(f"format {number} has no {name} in {self.tag}")
        for index, reshape in self._reshape:
            values[index] = reshape(values[index], number)
        return values[:count]


def message(tag, since=OLDEST_FORMAT, reshape=None):
    """Register a message dataclass under a tag, its permanent name on the wire.

    `since` is the format since which the tag exists. `reshape` maps names of fields
    to functions that return a value as an older format has it. If the class has a
    method `check`, `decode` calls it to validate the fields. A field that is newer
    than the oldest format may be missing; it has a default value, see `since`.
    """

    def register(cls):
        if tag in _BY_TAG:
            raise ValueError(f"tag {tag} is registered twice")
        layout = Layout(tag, cls, since, reshape or {})
        _BY_TAG[tag] = layout
        _BY_CLASS[cls] = layout
        return cls

    return register


def layouts():
    """Return the `Layout`s of all registered messages by tag."""
    return dict(_BY_TAG)


def field_values(body, number=FORMAT):
    """Return the values of a message's fields as a list, as a format has them."""
    return _BY_CLASS[type(body)].values(body, number)


def field_count(cls, number):
    """Return how many fields of a message class a format has, None if not the tag."""
    return _BY_CLASS[cls].counts[number - 1]


def from_values(cls, values):
    """Return a message from its field values, without those that it doesn't define."""
    return cls(*values[: len(_BY_CLASS[cls].names)])


def encode(body, correlation=0, is_reply=False, number=FORMAT):
    """Return the bytes of a frame that carries the message `body` in a format.

    Raise `NotInFormat` if that format can't carry it, `EncodeError` if none can.
    """
    layout = _BY_CLASS[type(body)]
    try:
        values = layout.values(body, number)
        return cbor2.dumps([layout.tag, correlation, is_reply, *values])
    except NotInFormat:
        raise
    except (
        cbor2.CBOREncodeError,
        ArithmeticError,
        AttributeError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
        raise EncodeError(f"{layout.tag} can't be encoded: {type(exc).__name__}: {exc}")


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
    if not isinstance(tag, str):
        raise CodecError("the frame's tag is not text")
    if not isinstance(correlation, int) or not isinstance(is_reply, bool):
        raise CodecError("the frame's correlation or reply flag is malformed")
    layout = _BY_TAG.get(tag)
    if layout is None:
        return Frame(None, correlation, is_reply, skipped=len(values))
    if len(values) < layout.required:
        oldest = max(layout.since, OLDEST_FORMAT)
        raise CodecError(
            f"{tag} has {len(values)} fields, {layout.required} in format {oldest}: "
            "the sender's build is older"
        )
    skipped = len(values) - len(layout.names)
    if skipped > 0:
        del values[-skipped:]
    body = layout.cls(*values)
    check = getattr(body, "check", None)
    if check is not None:
        try:
            check()
        except (TypeError, ValueError, KeyError, IndexError, AttributeError):
            raise CodecError(f"{tag} has a field of the wrong type")
    return Frame(
        body, correlation, is_reply, layout.since_by_count[len(values)], max(skipped, 0)
    )
