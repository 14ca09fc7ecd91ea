"""Strategies and samples of documents in the store that another writer left there."""

import json

from hypothesis import strategies as st

from lovagepier import platform
from lovagepier.entry._coordination.verdicts import POISON_PREFIX
from lovagepier.entry._store.view import HOST_PREFIX, encode_host
from test.entry_builders import config

TARGET = {
    "service": "ledger",
    "address": "127.0.0.1:9",
    "zone": "a1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "born": 1,
}
HOST = json.loads(encode_host("n7", "127.0.0.1:90", 1))
ORDER = {"service": "ledger", "target": "v2", "duration_s": 5}
STATE = {
    "service": "ledger",
    "target": "v2",
    "state": "running",
    "revision": 3,
    "begun": 1,
    "cause": "",
}
HUGE = "1" + "0" * 400
LONGER_THAN_INT = "1" * 5000
HALF_PAIR = "\ud800"

# Numbers as JSON text: any size, and what some writers take for numbers.
numbers = st.one_of(
    st.integers().map(str),
    st.floats(allow_nan=False, allow_infinity=False).map(repr),
    st.sampled_from(
        ("-0", "0", "-1", "1e308", "-1e308", "1e400", "-1e400", "5e-324", "NaN")
        + ("Infinity", HUGE, "-" + HUGE, LONGER_THAN_INT, "65536", str(2**63), "4.0")
    ),
)
# Text with all that a JSON string can hold: control bytes and half surrogate pairs.
texts = st.one_of(
    st.text(st.characters(), max_size=8),
    st.sampled_from(
        (
            "",
            " ",
            "a\r\nx-b: c",
            "\x00",
            HALF_PAIR,
            "a/b",
            "v" * 5000,
            "\u0661",
            "ready",
        )
    ),
)
addresses = st.sampled_from(
    (
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1:65536",
        "127.0.0.1:" + HUGE,
        "127.0.0.1:" + LONGER_THAN_INT,
        "127.0.0.1:80 ",
        "127.0.0.1:8_0",
        "127.0.0.1:+80",
        "127.0.0.1:\u0668\u0660",
        "127.0.0.1\x00:80",
        "127.0.0.1",
        ":80",
        "::1:80",
        "[::1]:80",
        "fe80::1%a\r\nb:80",
        "localhost:80",
        "a.example:80",
        "0.0.0.0:80",
        "224.0.0.1:80",
        HALF_PAIR + ":80",
    )
)
nested = st.builds(
    lambda depth, pair: pair[0] * depth + pair[1] * depth,
    st.sampled_from((30, 300, 900, 2000, 100_000)),
    st.sampled_from((("[", "]"), ('{"a":', "}"))),
).map(lambda text: text.replace(":}", ":0}"))
scalars = st.one_of(
    st.sampled_from(("null", "true", "false")), numbers, texts.map(json.dumps)
)
values = st.one_of(
    st.recursive(
        scalars,
        lambda inner: st.one_of(
            st.lists(inner, max_size=3).map(lambda rows: f"[{','.join(rows)}]"),
            st.lists(st.tuples(texts, inner), max_size=3).map(
                lambda pairs: _object([(name, text) for name, text in pairs])
            ),
        ),
        max_leaves=6,
    ),
    nested,
    addresses.map(json.dumps),
)


def _object(pairs):
    fields = ",".join(f"{json.dumps(name)}:{text}" for name, text in pairs)
    return f"{{{fields}}}"


# What has broken a later step: drawn as often as all other values.
HARD = (
    *(json.dumps(text) for text in (HALF_PAIR, "a\r\nb: c", "", "v" * 5000)),
    *(HUGE, LONGER_THAN_INT, "1e400", "1e308", "-1", "0", "NaN", str(2**63)),
    *("true", "null", "[]", "{}", "[" * 900 + "]" * 900),
)
hard = st.sampled_from(HARD)


@st.composite
def spoilt(draw, document):
    """Draw the bytes of a document with fields replaced, missing, doubled or added."""
    pairs = [(name, json.dumps(value)) for name, value in document.items()]
    for _ in range(draw(st.integers(0, 3))):
        name = draw(st.sampled_from(sorted(document)))
        kind = draw(st.sampled_from(("replace", "replace", "remove", "double", "add")))
        if kind == "replace":
            text = draw(st.one_of(hard, values))
            pairs = [(n, text if n == name else known) for n, known in pairs]
        elif kind == "remove":
            pairs = [(n, known) for n, known in pairs if n != name]
        elif kind == "double":
            pairs.append((name, draw(values)))
        else:
            pairs.append((draw(texts), draw(values)))
    return _object(pairs).encode()


target_ids = st.one_of(texts, st.sampled_from(("w9", "good", "w9/1")))
_DOCUMENTS = (
    (platform.TARGET_PREFIX, target_ids, TARGET),
    (HOST_PREFIX, st.one_of(texts, st.sampled_from(("n7.b", "n1.b"))), HOST),
    ("op/rollout/", st.one_of(texts, st.just("ledger")), ORDER),
    ("status/rollout/", st.one_of(texts, st.just("ledger")), STATE),
    (POISON_PREFIX, texts, {"name": "x"}),
    (platform.CONFIG_KEY, st.just(""), config(3)),
    ("", texts, TARGET),
)


@st.composite
def rows(draw):
    """Draw a key and the bytes of its document, odd or not."""
    prefix, names, document = draw(st.sampled_from(_DOCUMENTS))
    free = st.one_of(
        values.map(str.encode), st.binary(max_size=40), st.just(b"v" * 1_000_000)
    )
    value = draw(st.one_of(spoilt(document), spoilt(document), free))
    return prefix + draw(names), value


def spoil(document, **fields):
    """Return a document's bytes with fields replaced by JSON text, None to remove."""
    pairs = [(n, json.dumps(v)) for n, v in document.items() if n not in fields]
    pairs += [(name, text) for name, text in fields.items() if text is not None]
    return _object(pairs).encode()


# (name, key, function of a valid entry that returns the odd one's bytes)
ODD_TARGETS = (
    ("deep", "odd", lambda raw: b"[" * 100_000 + b"]" * 100_000),
    ("deep-field", "odd", lambda raw: spoil(raw, x="[" * 900 + "]" * 900)),
    ("deep-state", "odd", lambda raw: spoil(raw, state="[" * 900 + "]" * 900)),
    ("slots-huge", "odd", lambda raw: spoil(raw, slots=HUGE)),
    ("slots-infinite", "odd", lambda raw: spoil(raw, slots="1e400")),
    ("slots-fraction", "odd", lambda raw: spoil(raw, slots="1e300")),
    ("slots-none", "odd", lambda raw: spoil(raw, slots="0")),
    ("slots-true", "odd", lambda raw: spoil(raw, slots="true")),
    ("slots-missing", "odd", lambda raw: spoil(raw, slots=None)),
    ("born-huge", "odd", lambda raw: spoil(raw, born=HUGE)),
    ("born-digits", "odd", lambda raw: spoil(raw, born=LONGER_THAN_INT)),
    ("port-high", "odd", lambda raw: spoil(raw, address='"127.0.0.1:65536"')),
    ("port-zero", "odd", lambda raw: spoil(raw, address='"127.0.0.1:0"')),
    ("port-digits", "odd", lambda raw: spoil(raw, address='"127.0.0.1:\\u0668"')),
    ("host-name", "odd", lambda raw: spoil(raw, address='"a.example:80"')),
    ("state", "odd", lambda raw: spoil(raw, state='"resting"')),
    ("doubled", "odd", lambda raw: spoil(raw)[:-1] + b',"slots":9}'),
    ("id-line-break", "odd\r\nx-a: b", lambda raw: spoil(raw)),
    ("id-blank", " ", lambda raw: spoil(raw)),
    ("id-empty", "", lambda raw: spoil(raw)),
    ("id-slash", "a/b", lambda raw: spoil(raw)),
    ("id-half-pair", "odd" + HALF_PAIR, lambda raw: spoil(raw)),
    ("version-half-pair", "odd", lambda raw: spoil(raw, version='"\\ud800"')),
    ("zone-half-pair", "odd", lambda raw: spoil(raw, zone='"\\ud800"')),
    ("service-long", "odd", lambda raw: spoil(raw, service='"%s"' % ("s" * 100_000))),
    ("bytes", "odd", lambda raw: b"\xff\xfe\x00"),
    ("megabyte", "odd", lambda raw: b"\x01" * 700_000),
)

# A key and its document, of each kind.
KINDS = (
    ("servers/odd", TARGET),
    ("lovagepier/hosts/n7.b", HOST),
    ("lovagepier/poison/odd", {"name": "x"}),
    ("op/rollout/ledger", ORDER),
    ("status/rollout/ledger", STATE),
)


def configurations(value):
    """Yield configurations with JSON text for one field of any part."""
    parts = {
        "routes": {"traffic_split": [{"service": "ledger", "weight": 1}]},
        "services": {"engine": {"stride": 2}},
        "tenants": {"rate_per_s": 5, "burst": 5, "unit": "requests", "plain_tokens": 1},
        "limits": {},
    }
    raw = config(3)
    for part, more in parts.items():
        first = raw[part] if part == "limits" else raw[part][0]
        first = {"gap_aim_ms": 1, **first, **more}
        for field in first:
            text = spoil(first, **{field: value}).decode()
            text = text if part == "limits" else f"[{text}]"
            yield f"{part}.{field}", spoil(raw, **{part: text})
    for field in ("version", *parts):
        yield field, spoil(raw, **{field: value})
