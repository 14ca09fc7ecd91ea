"""What operators see of an event loop that is blocked."""

import asyncio
import time

import pytest

from lovagepier.entry._loop_monitor import CHECK_INTERVAL_S, MAX_LAG_S, LoopMonitor
from lovagepier.metrics import Metrics


def compute_for(seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        pass


async def run_ticks(monitor, block_s):
    monitor.start()
    for number in range(3):
        monitor.expect(0.01)
        if number == 1:
            compute_for(block_s)
        await asyncio.sleep(0.01)
        monitor.tick()
    monitor.stop()


# Two hosts stood still for 19 s, and no line of theirs told of it.
def test_a_blocked_loop_is_logged_with_what_it_runs(capsys):
    metrics = Metrics()
    asyncio.run(run_ticks(LoopMonitor(metrics), MAX_LAG_S + 3 * CHECK_INTERVAL_S))
    text = capsys.readouterr().out
    assert text.count("the event loop is blocked") == 1
    assert "compute_for" in text
    assert text.count("the event loop was blocked") == 1
    lines = [line for line in metrics.text({}).splitlines() if "loop_lag" in line]
    assert any(line.startswith("lovagepier_loop_lag_seconds_count") for line in lines)
    slowest = next(line for line in lines if 'quantile="0.999"' in line)
    assert float(slowest.split()[1]) == pytest.approx(2.0, rel=0.5)


def test_a_loop_that_is_in_time_logs_nothing(capsys):
    asyncio.run(run_ticks(LoopMonitor(Metrics()), 0.05))
    assert "blocked" not in capsys.readouterr().out
