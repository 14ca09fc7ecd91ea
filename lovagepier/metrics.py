"""Counters of a process and HDR histograms of its times."""

import threading

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

# Recorded times are clamped to this range.
MIN_TIME_US = 1
MAX_TIME_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 95, 99, 99.9)


class Metrics:
    """Counters and times, each by name and tier. Thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._times = {}
        self._counts = {}

    def time(self, name, seconds, tier=""):
        """Record a duration in seconds under a name and tier."""
        with self._lock:
            key = (name, str(tier))
            histogram = self._times.get(key)
            if histogram is None:
                histogram = HdrHistogram(MIN_TIME_US, MAX_TIME_US, SIGNIFICANT_DIGITS)
                self._times[key] = histogram
            micros = min(max(int(seconds * 1e6), MIN_TIME_US), MAX_TIME_US)
            histogram.record_value(micros)

    def count(self, name, tier="", by=1):
        """Add `by` to the counter of a name and tier."""
        with self._lock:
            key = (name, str(tier))
            self._counts[key] = self._counts.get(key, 0) + by

    def record_finished(self, in_flight, status, first_byte_s, total_s, in_time):
        """Record the end of one request.

        `first_byte_s` is None if no byte came. `in_time` tells whether the deadline
        was met.
        """
        tier = in_flight.work.tier
        self.count(f"ended_{status}", tier)
        if status == "ok" and in_time:
            self.count("good", tier)
        if first_byte_s is not None:
            self.time("first_byte", first_byte_s, tier)
        self.time("total", total_s, tier)

    def value(self, name):
        """Return the sum of a counter over all tiers."""
        with self._lock:
            return sum(v for (n, _), v in self._counts.items() if n == name)

    def text(self, gauges):
        """Return all metrics in the Prometheus text format; times are in seconds.

        `gauges` maps names to current values.
        """
        lines = []
        with self._lock:
            for (name, tier), value in sorted(self._counts.items()):
                lines.append(f'lovagepier_{name}_total{{tier="{tier}"}} {value}')
            for (name, tier), histogram in sorted(self._times.items()):
                lines.extend(_quantile_lines(name, tier, histogram))
        lines.extend(f"lovagepier_{name} {value}" for name, value in gauges.items())
        return "\n".join(lines) + "\n"


def _quantile_lines(name, tier, histogram):
    base = f"lovagepier_{name}_seconds"
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) / 1e6
        labels = f'tier="{tier}",quantile="{percentile / 100:g}"'
        yield f"{base}{{{labels}}} {value:.6f}"
    yield f'{base}_count{{tier="{tier}"}} {histogram.get_total_count()}'
