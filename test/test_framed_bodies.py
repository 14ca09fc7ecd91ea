"""A second response stands in a framed body where the rest of the first is due."""

import gc
import sys
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.entry._targets.parsers import MAX_HEAD_BYTES
from lovagepier.entry._targets.second_response import find_second_response
from lovagepier.platform import is_response_mark

ID = "r1"
HEADS = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request-Id: r1\r\n\r\n",
    b"HTTP/1.0 500 X\r\nX-Request-Id: other\r\nX-Server-Seal: s\r\n\r\n",
    b"HTTP/1.1 503\r\nDate: now\r\nX-Not-Executed: 1\r\n\r\n",
)
pieces = st.sampled_from(
    [b"a", b"H", b"HTTP/1.", b"1 200 OK", b"\r\n", b"\n", b"Name: value", b": "]
)
texts = st.lists(pieces, max_size=25).map(b"".join)


def find(body, rest=b""):
    return find_second_response(
        body, rest, lambda name, value: is_response_mark(name, value, {ID})
    )


@given(texts)
def test_a_text_without_marks_holds_no_response(text):
    assert not find(text)
    # It may seem to end in a head only where it has the start of one.
    assert find(text) is False or b"H" in text


@given(texts, st.sampled_from(HEADS), texts)
def test_a_marked_head_anywhere_in_a_body_is_found(text, second, behind):
    assert find(text + second + behind) is True


@given(texts, st.sampled_from(HEADS), st.integers(1, 200))
def test_a_head_that_goes_on_behind_the_body_is_found(text, second, inside):
    inside = min(inside, len(second) - 1)
    assert find(text + second[:inside], second[inside:]) is True


@given(texts, st.sampled_from(HEADS))
def test_a_response_behind_a_whole_body_is_not_inside_it(text, second):
    text += b"\n\nthe end\n"
    assert find(text, second) is False


TEXTS = {
    "lines": b"X: HTTP/1.1 200\r\n",
    "one line": b" HTTP/1.1 200",
    "heads": b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
    "status lines": b"HTTP/1.1 200 OK\r\n",
    "headers": b"Name: value\r\n",
}
MARKED_TEXTS = {
    "seals behind a text": b"a text\r\nX-Server-Seal: s\r\n",
    "a text in each head": b"HTTP/1.1 200\r\na text\r\nX-Server-Seal: s\r\n",
    "other ids": b"X-Request-Id: 7f3a\r\n",
    "heads with other ids": b"HTTP/1.1 200\r\nX-Request-Id: 7f3a\r\n\r\n",
}


def body_of(text, size):
    return b"HTTP/1.1 200\r\n" + text * (size // len(text)) + b"\r\n\r\nthe end"


@pytest.mark.parametrize(
    "text", (TEXTS | MARKED_TEXTS).values(), ids=TEXTS | MARKED_TEXTS
)
def test_the_search_takes_linear_time(text):
    data = body_of(text, 1024 * 1024)
    began = time.process_time()
    assert find(data) is False
    assert time.process_time() - began < 3.0


def calls_of_search(data):
    """Return how many functions, those in C too, the search of a body calls."""
    count = 0

    def on_event(frame, event, arg):
        nonlocal count
        count += event in ("call", "c_call")

    # Collections may come at any moment and have callbacks.
    gc.disable()
    sys.setprofile(on_event)
    try:
        assert find(data) is False
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


@pytest.mark.parametrize("text", TEXTS.values(), ids=TEXTS)
def test_a_text_without_marks_takes_as_many_steps_whatever_its_length(text):
    """What is looked at one by one are headers that may be marks, not status lines."""
    few, many = (calls_of_search(body_of(text, size)) for size in (128_000, 640_000))
    assert few == many < 50


@pytest.mark.parametrize("text", MARKED_TEXTS.values(), ids=MARKED_TEXTS)
def test_a_text_with_marks_takes_a_bounded_number_of_steps_for_each(text):
    data = body_of(text, 64_000)
    marks = data.count(b"\nX-")
    assert calls_of_search(data) < 20 * marks + 50


def test_a_mark_beyond_the_length_of_a_head_is_text():
    lines = b"Name: value\r\n" * (MAX_HEAD_BYTES // 13 + 1)
    text = b"HTTP/1.1 200 OK\r\n" + lines
    assert find(text + b"X-Server-Seal: s\r\n\r\nthe end") is False
    assert find(text, b"\r\n") is False
    # A head behind it, or in the last of its lines, is found as ever.
    assert find(text + HEADS[1]) is True
    assert find(text[:-3] + HEADS[1]) is True
    long_line = b"HTTP/1.1 200 OK\r\nName: " + b"x" * MAX_HEAD_BYTES
    assert find(long_line + HEADS[1]) is True


@pytest.mark.parametrize("status", [b"100 Continue", b"500 X\r\nContent-Length: 5"])
def test_a_head_without_marks_that_ends_where_the_body_does_is_found(status):
    second = b"HTTP/1.1 " + status + b"\r\n\r\n"
    behind = b"HTTP/1.1 200 OK\r\n"
    for inside in range(1, len(second) + 1):
        body = b"done " + second[:inside]
        assert find(body, second[inside:] + behind) is True, body
        assert find(body) is None, body
    # Behind its end there is more of the body: a text.
    assert find(b"done " + second + b"x", behind) is False
