"""The durations of calls, learnt by kind and size."""

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.learning.durations import DurationEstimates, call_size

KIND = ("ledger", "file")


def test_a_kind_is_unknown_until_a_few_calls_were_complete():
    durations = DurationEstimates()
    for _ in range(2):
        durations.learn(KIND, 1.0, 0.4)
        assert durations.expect(KIND, 1.0) is None
    durations.learn(KIND, 1.0, 0.4)
    assert durations.expect(KIND, 1.0) == 0.4
    assert durations.expect(("ledger", "read"), 1.0) is None


def test_rare_long_calls_count_and_old_ones_are_forgotten():
    durations = DurationEstimates()
    for number in range(60):
        durations.learn(KIND, 1.0, 3.0 if number % 10 == 0 else 0.2)
    assert durations.expect(KIND, 1.0) == 3.0
    for _ in range(64):
        durations.learn(KIND, 1.0, 0.2)
    assert durations.expect(KIND, 1.0) == 0.2


def test_a_larger_call_is_expected_to_last_longer():
    durations = DurationEstimates()
    for _ in range(3):
        durations.learn(KIND, call_size(0, 100), 1.0)
    assert durations.expect(KIND, call_size(0, 300)) == 3.0
    assert call_size(0, 0) == call_size(0, 1) == 1.0
    assert call_size(2000, 100) > call_size(0, 100)


@given(st.lists(st.floats(0.001, 100.0), min_size=3, max_size=200))
def test_nearly_all_recent_calls_end_within_what_is_expected(seconds):
    durations = DurationEstimates()
    for each in seconds:
        durations.learn(KIND, 1.0, each)
    recent = seconds[-64:]
    expected = durations.expect(KIND, 1.0)
    assert min(recent) <= expected <= max(recent)
    assert sum(each <= expected for each in recent) >= 0.95 * len(recent)
