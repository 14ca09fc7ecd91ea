"""A second response behind a body for which reading from its target was paused."""

import asyncio

import pytest

from lovagepier.entry._targets.conn import MAX_UNPARSED_BYTES, TargetConnection
from lovagepier.entry._targets.errors import SecondResponseFound
from test.test_second_answers import answer_bytes


class Transport:
    """Notes whether reading is paused."""

    def __init__(self):
        self.is_paused = False

    def write(self, data):
        pass

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


@pytest.mark.parametrize("size", [1000, MAX_UNPARSED_BYTES + 1])
def test_a_second_response_behind_a_long_body_is_read(size):
    async def scenario():
        transport = Transport()
        tconn = TargetConnection()
        tconn.connection_made(transport)
        tconn.send(b"GET", b"/", [(b"host", b"h")], b"")
        first = answer_bytes("whole", "length", "r1", body=b"x" * size)
        second = answer_bytes("whole", "length", "r1")
        inside = len(b"HTTP/1.1")

        async def send_rest():
            await asyncio.sleep(0.005)
            if not transport.is_paused:
                tconn.data_received(second[inside:])

        tconn.data_received(first[:-inside] + second[:inside])
        sending = asyncio.create_task(send_rest())
        await tconn.read_head("r1")
        with pytest.raises(SecondResponseFound):
            await tconn.read_body()
        await sending

    asyncio.run(scenario())
