"""Ids of events that advance evenly, by any step, as sound targets have them."""

import pytest

from lovagepier.entry._callers.events import EventSplitter
from test.stream_targets import piece

STREAMS = {
    "from 0 by 10": ("", (0, 10, 20)),
    "from 10 by 10": ("", (10, 20, 30)),
    "a smaller last one": ("", (4, 8, 12, 13)),
    "from anywhere": ("", (100, 101, 102)),
    "after another": ("9", (19, 29, 39)),
    "anew after another": ("9", (1, 2, 3)),
}


@pytest.mark.parametrize("name", STREAMS)
def test_a_stream_whose_ids_advance_evenly_is_passed(name):
    last_id, numbers = STREAMS[name]
    splitter = EventSplitter(last_id)
    data = b"".join(map(piece, numbers))
    assert splitter.feed(data) == data
