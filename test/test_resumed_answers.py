"""Answers of engines that broke off and are resumed, as the own runtime relays them."""

import time
from types import SimpleNamespace

import pytest

from lovagepier.errors import RequestError
from lovagepier.node import Relay, TargetRequest
from lovagepier.node._relay import MAX_RESUMES
from lovagepier.targets import Stream, TargetBroken
from lovagepier.targets._openai import OpenAiAdapter

EVENTS = [b"data: %d\n\n" % number for number in range(4)] + [b"data: [DONE]\n\n"]
WHOLE = b"".join(EVENTS)
BODY = b'{"choices": [{"message": {"content": "a b c"}}]}'
SSE = {"Content-Type": "text/event-stream"}
JSON = {"Content-Type": "application/json"}


class ScriptedEngine(OpenAiAdapter):
    """Answers the dispatch, and then each resume, by the next row of a script.

    A row is (status, headers, chunks); a chunk may be an exception. `resumed_at` lists
    the offsets that were asked for.
    """

    def __init__(self, *script):
        self.target = SimpleNamespace(name="e1")
        self._script = list(script)
        self.resumed_at = []
        self.cancelled = False

    def _answer(self):
        status, headers, chunks = self._script.pop(0)
        return Stream(status, headers, _raising(chunks), lambda: None)

    def dispatch(self, request, timeout):
        return self._answer()

    def resume(self, request_id, offset, timeout):
        self.resumed_at.append(offset)
        if not self._script:
            raise TargetBroken("no answer")
        return self._answer()

    def cancel(self, request_id):
        self.cancelled = True


def _raising(chunks):
    for chunk in chunks:
        if isinstance(chunk, Exception):
            raise chunk
        yield chunk


def relay(engine, streamed=True):
    """Return a `Relay` of one request to `engine` that is not part of any node."""
    nothing = SimpleNamespace(
        add=lambda *args, **kwargs: None,
        finish=lambda *args: None,
        record_finished=lambda *args: None,
        report_first_byte=lambda *args: None,
    )
    node = SimpleNamespace(
        clock=time.time, permits=nothing, metrics=nothing, timeline=nothing
    )
    work = SimpleNamespace(id="blue.r1", deadline=time.time() + 5)
    in_flight = SimpleNamespace(work=work, target="e1", version="v1")
    request = TargetRequest("POST", "/v1/chat/completions", b"{}", {}, streamed)
    return Relay(node, in_flight, engine, request)


def received(made):
    """Return (the bytes that a caller gets, whether the answer ends as complete)."""
    data = b""
    try:
        data = made.dispatch()
        for chunk in made.remaining_chunks():
            data += chunk
    except RequestError:
        return data, False
    return data, True


BROKEN = (200, SSE, [EVENTS[0], EVENTS[1], TargetBroken("reset")])
REST = (200, SSE, [b"".join(EVENTS[2:])])
ERRORS = {
    "400": (400, JSON, [b'{"error": "bad offset"}']),
    "429": (429, JSON, [b'{"error": "too many"}']),
    "500": (500, JSON, [b'{"error": "engine fault"}']),
    "503": (503, JSON, [b'{"error": "no weights"}']),
    "503, cut": (503, JSON, [b'{"err', TargetBroken("reset")]),
    "200 json": (200, JSON, [b'{"error": "overloaded"}']),
    "204": (204, {}, []),
    "206": (206, SSE, [b"".join(EVENTS[2:])]),
}


@pytest.mark.parametrize("name", ERRORS)
def test_an_error_response_to_a_resume_is_no_part_of_the_stream(name):
    engine = ScriptedEngine(BROKEN, ERRORS[name], REST)
    assert received(relay(engine)) == (WHOLE, True)
    offset = len(EVENTS[0] + EVENTS[1])
    assert engine.resumed_at == [offset, offset]


@pytest.mark.parametrize("name", ERRORS)
def test_a_stream_is_cut_if_all_resumes_are_answered_with_errors(name):
    engine = ScriptedEngine(BROKEN, *[ERRORS[name]] * 5)
    assert received(relay(engine)) == (EVENTS[0] + EVENTS[1], False)
    assert engine.cancelled


def test_a_whole_answer_that_broke_off_is_not_followed_by_a_second_one():
    broken = (200, JSON, [BODY[:20], TargetBroken("reset")])
    engine = ScriptedEngine(broken, broken, (200, JSON, [BODY[:30], BODY[30:]]))
    made = relay(engine, streamed=False)
    assert made.read_whole(made.dispatch()) == BODY
    assert engine.resumed_at == [0, 0]


def test_a_whole_answer_that_always_breaks_off_is_given_up():
    broken = (200, JSON, [BODY[:20], TargetBroken("reset")])
    engine = ScriptedEngine(*[broken] * 20)
    made = relay(engine, streamed=False)
    with pytest.raises(RequestError):
        made.read_whole(made.dispatch())
    assert len(engine.resumed_at) == MAX_RESUMES


def test_a_whole_answer_whose_first_bytes_were_lost_is_read_once():
    broken = (200, JSON, [TargetBroken("reset")])
    engine = ScriptedEngine(broken, (200, JSON, [BODY[:30], BODY[30:]]))
    made = relay(engine, streamed=False)
    assert made.read_whole(made.dispatch()) == BODY


@pytest.mark.parametrize("name", ERRORS)
def test_an_error_response_to_a_resume_is_no_answer_to_the_request(name):
    broken = (200, SSE, [TargetBroken("reset")])
    engine = ScriptedEngine(broken, ERRORS[name], (200, SSE, [WHOLE]))
    made = relay(engine)
    assert received(made) == (WHOLE, True)
    assert made.status == 200


def test_a_failure_that_broke_off_is_not_completed_by_a_resume():
    broken = (400, JSON, [b'{"err', TargetBroken("reset")])
    engine = ScriptedEngine(broken, REST)
    data, is_complete = received(relay(engine))
    assert not is_complete
    assert not engine.resumed_at


def test_the_parts_of_a_caller_are_those_of_one_engine_stream():
    engine = ScriptedEngine(BROKEN, REST)
    assert received(relay(engine)) == (WHOLE, True)
