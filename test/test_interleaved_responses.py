"""No order of answers, copies, refusals and unnamed responses deceives a caller.

Callers send one request after the other; the target writes what hypothesis chooses.
Copies are those of answers that were written on the same connection.
"""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from test.entry_builders import entry_fleet
from test.stuttering_target import (
    FRAMINGS,
    KINDS,
    Turn,
    add_stuttering,
    check_truth,
    plain,
    send,
)

ROUTES = ("read", "file")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n\r\n"
RUBBISH = b"\x00no response\r\n\r\n"


@st.composite
def strays(draw):
    """Return what makes a stray response from the answers written so far."""
    kind = draw(st.sampled_from(["copy", "unnamed", "other", "interim", "rubbish"]))
    shape = draw(st.sampled_from(list(KINDS)))
    framing = draw(st.sampled_from(FRAMINGS))
    index = draw(st.integers(0, 3))

    def make(written):
        if kind == "copy":
            return written[index % len(written)] if written else b""
        if kind == "interim":
            return INTERIM
        if kind == "rubbish":
            return RUBBISH
        return KINDS[shape]("other" if kind == "other" else None, framing, "stray")

    return make


some_strays = st.lists(strays(), max_size=3)
turns = st.fixed_dictionaries(
    {
        "kind": st.sampled_from(["whole", "whole", "refusal", "failure"]),
        "framing": st.sampled_from(FRAMINGS),
        "answers": st.sampled_from([True, True, True, False]),
        "early": some_strays,
        "before": some_strays,
        "joined": st.lists(strays(), max_size=1),
        "after": some_strays,
        "ends": st.sampled_from(["keep", "keep", "close", "reset"]),
    }
)
calls = st.lists(
    st.tuples(
        st.sampled_from(ROUTES), st.booleans(), st.lists(turns, min_size=1, max_size=2)
    ),
    min_size=1,
    max_size=5,
)


class _Script:
    """One example: the turns of each request, and what its answers bear."""

    def __init__(self, target):
        self.target = target
        self.turns = []
        self.text = ""

    def plan(self, request_id, conn):
        """Return the next turn; requests without one are not answered."""
        if not self.turns:
            return Turn(executes=True, ends="close")
        raw = self.turns.pop(0)
        parts = plain(request_id, raw["kind"], raw["framing"], self.text)
        answer = parts.answer if raw["answers"] else b""
        written = [*conn.written, answer] if answer else conn.written

        def made(name):
            return tuple(make(written) for make in raw[name])

        # An earlier answer is all that can be copied before the answer itself.
        earlier = tuple(make(conn.written) for make in raw["before"])
        return Turn(
            answer,
            executes=parts.executes,
            early=tuple(make(conn.written) for make in raw["early"]),
            before=(*earlier, b""),
            joined=b"".join(made("joined")),
            after=made("after"),
            ends=parts.ends if raw["ends"] == "keep" else raw["ends"],
        )


@settings(max_examples=150)
@given(calls)
def test_a_caller_sees_its_own_answer_or_an_honest_failure(rows):
    asyncio.run(_play(rows))


async def _play(rows):
    async with entry_fleet(targets=False) as fleet:
        target = await add_stuttering(fleet)
        script = _Script(target)
        target.plan = script.plan
        request_id = ""
        for number, (route, repeats, raw_turns) in enumerate(rows):
            if not (repeats and request_id):
                request_id = f"r{number}"
            script.turns = list(raw_turns)
            script.text = f"{request_id} {number}"
            # The target may read a request that was given up during a later one, so
            # that each call has a path of its own.
            path = f"/{route}/{number}"
            async with asyncio.timeout(20):
                answer = await send(fleet.hosts[0], path, request_id, b"1")
            runs = target.executed.count((request_id, path))
            check_truth(answer, request_id, runs > 0, script.text)
            if route == "file":
                assert runs <= 1
