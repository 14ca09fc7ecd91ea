"""A refusal whose body is not HTTP: another answer begins inside it.

The two may state the opposite of each other, so the call may have run: it is neither
sent to another target nor refused as not run. A refusal that is only cut still counts.
"""

import asyncio

import pytest

from test.entry_builders import entry_fleet
from test.stream_targets import Answer, StreamTargets, ask
from test.test_second_answers import NOT_RUN, answer_bytes

BODY = b"full of other requests"


async def refuse(fleet, targets, cut, behind, end):
    """Return (requests that targets got, what the caller saw) of a cut refusal.

    `cut` is the offset in the body as it is framed.
    """
    await targets.renew(2)

    def make(request_id):
        first = answer_bytes("refusal", "chunks", request_id, body=BODY)
        start = first.index(b"\r\n\r\n") + 4
        second = answer_bytes("whole", "length", request_id) if behind else b""
        return first[: start + cut] + second

    targets.play(Answer(make, end=end))
    body = b"call %d" % cut
    seen = await ask(fleet.hosts[0], "/file/x", f"r{cut}", body=body, settle=0.002)
    return len(targets.asked), seen


def cut_offsets():
    """Return where to cut: in the size lines, the chunks and between them."""
    first = answer_bytes("refusal", "chunks", "r", body=BODY)
    return range(len(first) - first.index(b"\r\n\r\n") - 4)


@pytest.mark.parametrize("end", ["keep", "fin"])
def test_a_refusal_with_another_answer_in_its_chunks_proves_nothing(end):
    async def scenario():
        wrong = {}
        async with entry_fleet(targets=False) as fleet:
            targets = StreamTargets(fleet, "ledger")
            for cut in cut_offsets():
                asked, seen = await refuse(fleet, targets, cut, True, end)
                if asked != 1 or seen.status in (*NOT_RUN, 200):
                    wrong[cut] = (asked, seen.status)
        assert wrong == {}

    asyncio.run(scenario())


@pytest.mark.parametrize("cut", [0, 1, 3, 9, 25])
def test_a_refusal_that_is_only_cut_still_counts(cut):
    async def scenario():
        async with entry_fleet(targets=False) as fleet:
            targets = StreamTargets(fleet, "ledger")
            asked, seen = await refuse(fleet, targets, cut, False, "fin")
            assert asked > 1 or seen.status in NOT_RUN

    asyncio.run(scenario())
