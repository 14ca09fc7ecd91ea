"""Counts and quantiles of one node, kept in HDR histograms."""

import threading

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
QUANTILES = (50, 90, 95, 99, 99.9)


class Metrics:
    """Times in microseconds by tier; counters by name."""

    def __init__(self):
        self._lock = threading.Lock()
        self._times = {}
        self._counts = {}

    def time(self, name, seconds, tier=""):
        """Record a time under a name and tier."""
        with self._lock:
            key = (name, str(tier))
            histogram = self._times.get(key)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
                self._times[key] = histogram
            micros = min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US)
            histogram.record_value(micros)

    def count(self, name, tier="", by=1):
        """Add to a counter."""
        with self._lock:
            key = (name, str(tier))
            self._counts[key] = self._counts.get(key, 0) + by

    def record_finished(self, item, status, first, total, in_time):
        """Record one ended request."""
        tier = item.work.tier
        self.count(f"ended_{status}", tier)
        if status == "ok" and in_time:
            self.count("good", tier)
        if first is not None:
            self.time("first_byte", first, tier)
        self.time("total", total, tier)

    def value(self, name):
        """Return a counter summed over tiers."""
        with self._lock:
            return sum(v for (n, _), v in self._counts.items() if n == name)

    def text(self, gauges):
        """Return all in the Prometheus text format; times in seconds."""
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
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile) / 1e6
        labels = f'tier="{tier}",quantile="{quantile / 100:g}"'
        yield f"{base}{{{labels}}} {value:.6f}"
    yield f'{base}_count{{tier="{tier}"}} {histogram.get_total_count()}'
