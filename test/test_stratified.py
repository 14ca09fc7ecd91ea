"""The test that compares the rates of two versions within strata of time."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.rollouts.rollout_plan import MAX_SWITCH_SCORE, MIN_BOTH_SCORE
from lovagepier.decisions.rollouts.stratified import StratifiedTest

RATE = 0.05
# A bad version's rate where a test does not state another.
BAD_RATE = 0.5


def compare(rng, rate, new_rate, new_share, seconds=15, per_second=17, test=None):
    """Return the `StratifiedTest` of outcomes; rates are functions of the time."""
    test = test or StratifiedTest()
    for number in range(seconds * per_second):
        now = number / per_second
        is_new = rng.random() < new_share(now)
        bad = rng.random() < (new_rate(now) if is_new else rate(now))
        test.add(is_new, 1, int(bad), now)
    return test


@pytest.mark.parametrize("bad_rate", [0.33, 0.5])
def test_a_worse_version_shows_in_a_small_service(bad_rate):
    found = 0
    for seed in range(200):
        rng = random.Random(seed)
        test = compare(rng, lambda t: RATE, lambda t: bad_rate, lambda t: 0.2)
        found += test.score() > MAX_SWITCH_SCORE
    assert found >= 198


def test_alike_versions_do_not_show_while_the_share_and_the_rate_change_together():
    """The new version gets most requests just while both versions are slow."""
    false = 0
    for seed in range(500):
        rng = random.Random(seed)

        def rate(now):
            return 0.6 if now > 9 else RATE

        test = compare(rng, rate, rate, lambda t: 0.67 if t > 9 else 0.2)
        false += test.score() > MAX_SWITCH_SCORE
    assert false <= 5


@pytest.mark.parametrize("per_second", [17, 50])
def test_a_fault_that_begins_late_shows_in_the_last_strata(per_second):
    found = 0
    for seed in range(200):
        rng = random.Random(seed)
        test = compare(
            rng,
            lambda t: RATE,
            lambda t: BAD_RATE if t > 12 else RATE,
            lambda t: 0.67 if t > 12 else 0.2,
            per_second=per_second,
        )
        found += test.score() > MIN_BOTH_SCORE
    assert found >= 198


def test_without_the_old_version_there_is_no_score():
    test = StratifiedTest()
    for number in range(50):
        test.add(True, 1, 1, number / 10)
    assert test.score() == 0.0


@given(st.integers(0, 10_000), st.integers(1, 200))
def test_a_successor_continues_from_the_sums(seed, count):
    rng = random.Random(seed)
    test = StratifiedTest()
    for number in range(count):
        test.add(rng.random() < 0.4, 1, int(rng.random() < 0.3), number / 17)
    other = StratifiedTest()
    other.adopt(test.state())
    assert other.state() == test.state()
    assert other.score() <= test.score() + 1e-9
