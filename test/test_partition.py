"""Tests of partitions: hosts together use about the stated slots, each at least one."""

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.limits.limits import FixedLimit
from lovagepier.decisions.placement.partition import slots_for_host


@given(st.integers(2, 80), st.integers(1, 60), st.integers(1, 8))
def test_partitioned_hosts_do_not_overload_the_targets(hosts, targets, slots):
    stated = {f"t{number}": slots for number in range(targets)}
    used = [slots_for_host(f"h{host}", stated, 1 / hosts) for host in range(hosts)]
    total = sum(int(count) for row in used for count in row.values())
    assert all(sum(row.values()) >= 1 for row in used)
    expected = targets * slots
    # Each host gets at least one slot. The number of slots drawn at random varies
    # by about the square root of its mean; six times that is allowed.
    assert total <= expected + hosts + 6 * expected**0.5


def test_a_coordinator_of_all_hosts_uses_all_slots():
    assert slots_for_host("h", {"t1": 6, "t2": 7}, 1.0) == {"t1": 6.0, "t2": 7.0}


def test_a_target_without_a_slot_gets_no_requests():
    assert not FixedLimit(0.0).has_room(0)
    assert not FixedLimit(0.0).has_room(-1)
    assert FixedLimit(1.0).has_room(0)
