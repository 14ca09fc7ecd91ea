"""Logs stay bounded, and say what they left out."""

import pytest
import structlog

from lovagepier import logs


def test_a_flood_of_one_kind_is_bounded_counted_and_hides_no_other():
    now = [0.0]
    sampler = logs._Sampler(lambda: now[0])
    passed = 0
    for _ in range(10_000):
        try:
            sampler(None, "info", {"event": "flood"})
            passed += 1
        except structlog.DropEvent:
            pass
    assert passed == logs.LINES_AT_ONCE
    assert sampler(None, "info", {"event": "rare"}) == {"event": "rare"}
    now[0] = logs.DROPPED_TOLD_S
    line = sampler(None, "info", {"event": "rare"})
    assert line["dropped_lines"] == {"flood": 10_000 - passed}
    now[0] += 1.0
    assert "dropped_lines" not in sampler(None, "info", {"event": "rare"})


def test_a_flood_passes_at_its_rate():
    now = [0.0]
    sampler = logs._Sampler(lambda: now[0])
    passed = 0
    for step in range(20_000):
        now[0] = step * 0.001
        try:
            sampler(None, "info", {"event": "flood"})
            passed += 1
        except structlog.DropEvent:
            pass
    assert passed <= logs.LINES_AT_ONCE + 20 * logs.LINES_PER_S + 1


def test_parts_are_a_fixed_list():
    with pytest.raises(ValueError):
        logs.component_logger("nobody")
