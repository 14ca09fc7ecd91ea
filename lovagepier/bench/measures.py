"""Measurements of a load run: goodput by tier, latencies, waste, tier inversions."""

from hdrh.histogram import HdrHistogram

__all__ = ["measure", "tier_inversions"]

MAX_LATENCY_US = 600_000_000
INVERSION_WINDOW_S = 1.0
_CAPACITY_KINDS = ("shed", "deadline-waiting")
_TIER_RANK = {"urgent": 0, "standard": 1, "batch": 2, "spare": 3}


def _quantiles(values):
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for value in values:
        histogram.record_value(min(max(int(value * 1e6), 1), MAX_LATENCY_US))
    return {
        f"p{q:g}": round(histogram.get_value_at_percentile(q) / 1e6, 4)
        for q in (50, 95, 99)
    }


def measure(sent, engines):
    """Return the measurements of one run.

    `sent` is [`SentRequest`]; `engines` is the list of the engines' counts for
    this run. A request is good if its answer was complete within the deadline.
    Wasted prefill is what engines computed for requests that were not good, and
    for a shared prefix that any engine had already computed.
    """
    tiers = {}
    for item in sent:
        sent_and_good = tiers.setdefault(item.arrival.tier.name, [0, 0])
        sent_and_good[0] += 1
        sent_and_good[1] += item.good
    good = [item for item in sent if item.good]
    prefilled = sum(counts["prefill_tokens"] for counts in engines)
    useful = _useful_prefill(good)
    kinds = {}
    for item in sent:
        if not item.good:
            kind = item.kind or ("late" if item.is_complete else "cut")
            kinds[kind] = kinds.get(kind, 0) + 1
    return {
        "sent": len(sent),
        "good": len(good),
        "goodput": round(len(good) / max(len(sent), 1), 4),
        "goodput_by_tier": {n: round(g / s, 4) for n, (s, g) in tiers.items()},
        "not_good": kinds,
        "first_token_s": _quantiles(
            [i.first_byte_s for i in good if i.first_byte_s is not None]
        ),
        "between_tokens_s": _quantiles([gap for item in good for gap in item.gaps]),
        "prefill_tokens": prefilled,
        "wasted_prefill": max(0, prefilled - useful),
        "tier_inversions": tier_inversions(sent),
    }


def _useful_prefill(good):
    total = 0
    seen = set()
    for item in good:
        tokens = len(item.arrival.prompt) // 4
        if item.arrival.prefix_number >= 0:
            prefix_tokens = item.arrival.prompt.find("own") // 4
            if item.arrival.prefix_number in seen:
                tokens -= prefix_tokens
            seen.add(item.arrival.prefix_number)
        total += tokens
    return total


def tier_inversions(sent):
    """Count refusals for lack of capacity that are soon followed by lower-tier work.

    A refusal counts if a request of a lower tier gets its first byte within a
    second after it. The first byte is the only sign of a start that a caller
    sees, so a request that started shortly before the refusal may count too.
    """
    starts = sorted(
        (item.arrival.at + item.first_byte_s, _TIER_RANK.get(item.arrival.tier.name, 0))
        for item in sent
        if item.first_byte_s is not None
    )
    return sum(
        _is_inversion(item, starts) for item in sent if item.kind in _CAPACITY_KINDS
    )


def _is_inversion(item, starts):
    rank = _TIER_RANK.get(item.arrival.tier.name, 0)
    return any(
        item.ended_s < at <= item.ended_s + INVERSION_WINDOW_S and lower > rank
        for at, lower in starts
    )
