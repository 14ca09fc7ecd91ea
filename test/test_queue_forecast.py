"""Which queued calls of a stopping host can't begin in time."""

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.queueing.queue_forecast import StartLog, too_late


def test_only_as_many_calls_stay_as_can_begin():
    queue = [(number, 12.0) for number in range(10)]
    assert too_late(queue, 2.0, 10.0) == [4, 5, 6, 7, 8, 9]
    assert too_late(queue, None, 10.0) == []
    assert too_late(queue, None, 12.1) == list(range(10))


def test_a_call_that_is_given_back_leaves_its_place_to_the_next():
    queue = [("long", 10.1), ("short", 11.0), ("shorter", 12.0)]
    assert too_late(queue, 1.0, 10.0) == ["long"]


def test_the_rate_is_that_of_recent_starts():
    log = StartLog()
    assert log.rate("ledger", 0.0) is None
    for number in range(11):
        log.add("ledger", number / 2)
    assert log.rate("ledger", 5.0) == 2.0
    assert log.rate("model", 5.0) is None
    assert log.rate("ledger", 11.0) is None


def test_the_rate_does_not_sink_between_starts_that_come_together():
    log = StartLog()
    for number in range(3):
        for _ in range(2):
            log.add("ledger", float(number))
    for now in (2.0, 2.5, 2.99):
        assert 2.0 <= log.rate("ledger", now) <= 2.5
    assert log.rate("ledger", 4.5) < 1.5


@given(
    st.lists(st.floats(0.0, 20.0), max_size=30),
    st.one_of(st.none(), st.floats(0.01, 100.0)),
    st.floats(0.0, 20.0),
)
def test_what_stays_can_begin_in_time(latest, rate, now):
    queue = list(enumerate(latest))
    late = too_late(queue, rate, now)
    assert {n for n, at in queue if at < now} <= set(late)
    rest = [row for row in queue if row[0] not in late]
    assert too_late(rest, rate, now) == []
