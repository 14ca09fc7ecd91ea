"""A second response stands in a framed body where the rest of the first is due."""

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


@pytest.mark.parametrize(
    "text",
    [b"X: HTTP/1.1 200\r\n", b" HTTP/1.1 200", b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n"],
    ids=["lines", "one line", "heads"],
)
def test_the_search_takes_linear_time(text):
    size = 1024 * 1024
    data = b"HTTP/1.1 200\r\n" + text * (size // len(text)) + b"\r\n\r\nthe end"
    began = time.process_time()
    assert find(data) is False
    assert time.process_time() - began < 3.0


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
