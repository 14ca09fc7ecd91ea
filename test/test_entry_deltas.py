"""Deltas of documents: applying one always gives the new document's bytes."""

import json

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.entry._cluster.deltas import apply_delta, make_delta

rows = st.lists(
    st.builds(
        lambda n: {"name": f"r-{n}", "prefix": f"/p{n}/" * 10}, st.integers(0, 9)
    ),
    max_size=40,
)


def document(version, routes):
    return json.dumps({"version": version, "routes": routes}).encode()


@given(rows, rows)
def test_a_delta_between_any_two_documents_gives_the_new_one(before, after):
    old, new = document(1, before), document(2, after)
    steps = make_delta(old, new)
    if steps is not None:
        assert apply_delta(old, steps) == new


def test_a_change_of_one_route_of_many_gives_a_short_delta():
    routes = [{"name": f"r-{n}", "timeout_ms": 4000 + n} for n in range(500)]
    old = document(1, routes)
    routes[250]["timeout_ms"] = 1
    new = document(2, routes)
    steps = make_delta(old, new)
    assert sum(len(step) for step in steps if isinstance(step, bytes)) < 300
    assert apply_delta(old, steps) == new


def test_short_and_new_documents_get_no_delta():
    assert make_delta(b"{}", b'{"a":1}') is None
    assert make_delta(None, b"x" * 9000) is None
