"""Event streams are split into whole events, however the network cuts them."""

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.entry._events import EventSplitter

ENDS = ("\n\n", "\r\n\r\n")


def event(number, text, end):
    line = end[: len(end) // 2]
    return f"id: {number}{line}data: {text}{end}".encode()


streams = st.lists(
    st.tuples(st.text("abc: ", max_size=6), st.sampled_from(ENDS)), max_size=8
)
cuts = st.lists(st.integers(0, 300), max_size=12)


def split_at(data, offsets):
    edges = sorted({min(offset, len(data)) for offset in offsets} | {0, len(data)})
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@given(streams, cuts)
def test_all_bytes_pass_in_order_however_they_are_cut(rows, offsets):
    data = b"".join(event(n + 1, text, end) for n, (text, end) in enumerate(rows))
    splitter = EventSplitter()
    out = b"".join(splitter.feed(piece) for piece in split_at(data, offsets))
    assert out == data
    assert splitter.incomplete == b""
    assert splitter.count == len(rows)
    assert splitter.last_id == (str(len(rows)) if rows else "")


@given(streams, cuts, st.integers(1, 30))
def test_a_truncated_event_never_passes(rows, offsets, lost):
    data = b"".join(event(n + 1, text, end) for n, (text, end) in enumerate(rows))
    data = data[: max(len(data) - lost, 0)]
    splitter = EventSplitter()
    out = b"".join(splitter.feed(piece) for piece in split_at(data, offsets))
    assert data.startswith(out)
    assert out + splitter.incomplete == data
    assert not out or out.endswith(b"\n\n") or out.endswith(b"\r\n\r\n")


def test_events_repeated_by_a_resumed_stream_are_dropped():
    splitter = EventSplitter("2", skip=True)
    data = b"".join(event(number, "x", "\n\n") for number in (2, 3, 4))
    assert splitter.feed(data) == event(3, "x", "\n\n") + event(4, "x", "\n\n")


def test_a_callers_own_last_event_id_drops_nothing():
    splitter = EventSplitter("2")
    assert splitter.feed(event(1, "x", "\n\n")) == event(1, "x", "\n\n")
