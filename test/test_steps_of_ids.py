"""Ids of events that only increase, as the platform's page has them, by any steps."""

import pytest

from lovagepier.entry._callers.events import EventSplitter
from test.stream_targets import piece

STREAMS = {
    "from 0 by 10": (0, 10, 20),
    "from 1 by 10": (1, 11, 21),
    "by the tokens": (1, 4, 9, 11),
    "a larger last one": (10, 20, 30, 45),
}


@pytest.mark.parametrize("name", STREAMS)
@pytest.mark.parametrize("last_id", ["", "9"])
def test_a_stream_whose_ids_increase_by_larger_steps_is_passed(name, last_id):
    splitter = EventSplitter(last_id)
    data = b"".join(map(piece, STREAMS[name]))
    assert splitter.feed(data) == data
