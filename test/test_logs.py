"""The rate of log lines is limited per message; dropped lines are reported."""

import pytest
import structlog

from lovagepier import logs


def test_a_flood_of_one_message_is_limited_and_counted_and_others_still_pass():
    now = [0.0]
    limiter = logs._RateLimiter(lambda: now[0])
    passed = 0
    for _ in range(10_000):
        try:
            limiter(None, "info", {"event": "flood"})
            passed += 1
        except structlog.DropEvent:
            pass
    assert passed == logs.MAX_BURST_LINES
    assert limiter(None, "info", {"event": "rare"}) == {"event": "rare"}
    now[0] = logs.MIN_DROP_REPORT_INTERVAL_S
    line = limiter(None, "info", {"event": "rare"})
    assert line["dropped_lines"] == {"flood": 10_000 - passed}
    now[0] += 1.0
    assert "dropped_lines" not in limiter(None, "info", {"event": "rare"})


def test_a_sustained_flood_passes_at_the_maximum_rate():
    now = [0.0]
    limiter = logs._RateLimiter(lambda: now[0])
    passed = 0
    for step in range(20_000):
        now[0] = step * 0.001
        try:
            limiter(None, "info", {"event": "flood"})
            passed += 1
        except structlog.DropEvent:
            pass
    assert passed <= logs.MAX_BURST_LINES + 20 * logs.MAX_LINES_PER_S + 1


def test_an_unknown_component_has_no_logger():
    with pytest.raises(ValueError):
        logs.component_logger("nobody")
