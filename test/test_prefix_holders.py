"""Targets with a cached prompt are found, however many hold its shared beginning."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.placement.prefixes import MAX_HOLDERS, PrefixIndex
from lovagepier.decisions.placement.work import Grant
from test.builders import ended, make_scheduler, make_work

TARGETS = [f"e{number}" for number in range(60)]
SHARED = "system prompt"


def index_of(chains):
    """Return an index of {target: blocks}."""
    index = PrefixIndex()
    for target, blocks in chains.items():
        index.add(target, blocks)
    return index


@pytest.mark.parametrize("depth", [2, 3, 12])
def test_the_holder_of_the_whole_prompt_is_found_among_many(depth):
    blocks = [SHARED, *range(1, depth)]
    for holder in TARGETS:
        index = index_of({name: [SHARED] for name in TARGETS})
        index.add(holder, blocks)
        assert index.hits(blocks)[holder] == depth


def test_the_deepest_holders_come_first():
    chains = {name: [SHARED] for name in TARGETS}
    chains |= {name: [SHARED, 1] for name in TARGETS[:20]}
    chains |= {name: [SHARED, 1, 2] for name in TARGETS[10:13]}
    hits = index_of(chains).hits([SHARED, 1, 2])
    assert list(hits.values()) == [3, 3, 3] + [2] * (MAX_HOLDERS - 3)


def test_a_target_that_lost_the_beginning_is_no_holder():
    chains = {name: [1, 2] for name in TARGETS[:3]}
    chains["e9"] = [SHARED]
    assert index_of(chains).hits([SHARED, 1, 2]) == {"e9": 1}


@given(
    st.lists(st.lists(st.integers(0, 5), max_size=5), max_size=40),
    st.lists(st.integers(0, 5), max_size=6),
)
def test_hits_are_true_and_bounded(chains, wanted):
    index = index_of({f"e{n}": chain for n, chain in enumerate(chains)})
    hits = index.hits(wanted)
    assert len(hits) <= MAX_HOLDERS
    for name, depth in hits.items():
        assert depth == index.depth(name, wanted) > 0


def serve_all(scheduler, name, now):
    """Serve a request with each of as many prompts as targets; return who did."""
    works = [
        make_work(
            f"{name}{own}",
            deadline=now + 50.0,
            prefill_tokens=2950,
            blocks=(SHARED, own),
            block_tokens=(60, 2890),
        )
        for own in range(len(TARGETS))
    ]
    grants = [scheduler.offer(work, now)[0] for work in works]
    assert all(isinstance(grant, Grant) for grant in grants)
    for grant in grants:
        scheduler.finish(ended(grant.work, grant.target), now + 0.5)
    return [grant.target for grant in grants]


def test_requests_go_back_to_the_target_that_holds_their_prompt():
    scheduler = make_scheduler(TARGETS)
    first = serve_all(scheduler, "a", 1.0)
    assert len(set(first)) == len(TARGETS)
    assert serve_all(scheduler, "b", 2.0) == first
