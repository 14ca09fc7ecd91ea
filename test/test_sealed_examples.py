"""A whole answer of another inside a body, which has the bytes of a text about HTTP."""

import asyncio

from test.entry_builders import entry_fleet
from test.stream_targets import Answer, StreamTargets, ask, head

OTHER = (
    b"HTTP/1.1 200 X\r\nX-Request-Id: other\r\nX-Server-Seal: s.of-another\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 4\r\n\r\nlate"
)


def test_the_answer_of_another_inside_a_body_whose_rest_is_late_is_not_passed():
    """Neither its seal nor its end before that of the body make it an example."""

    async def scenario():
        async with entry_fleet(targets=False) as fleet:
            targets = StreamTargets(fleet, "ledger")
            await targets.renew(1)
            data = b"x" * 100 + OTHER + b"x" * 300
            # What is too much for the length comes after the host has waited for it.
            top = head(kind="text/plain", length=400)
            targets.play(Answer(top, data[:400], 0.2, data[400:]))
            seen = await ask(fleet.hosts[0], "/file/x", "r1")
            assert (seen.status, seen.body) == (502, b"")
            assert targets.asked

    asyncio.run(scenario())
