"""What a load run shows: goodput by tier, times, waste, control cost."""

from hdrh.histogram import HdrHistogram

__all__ = ["measures", "tier_inversions"]

HIGHEST_US = 600_000_000
WINDOW_S = 1.0
_CAPACITY_KINDS = ("shed", "deadline-waiting")
_RANK = {"urgent": 0, "standard": 1, "batch": 2, "spare": 3}


def _quantiles(values):
    histogram = HdrHistogram(1, HIGHEST_US, 3)
    for value in values:
        histogram.record_value(min(max(int(value * 1e6), 1), HIGHEST_US))
    return {
        f"p{q:g}": round(histogram.get_value_at_percentile(q) / 1e6, 4)
        for q in (50, 95, 99)
    }


def measures(sent, engines):
    """Return the figures of one run.

    `engines` is [the engines' counts of this run]. Wasted prefill is what
    engines computed for answers that were not good, and computed again
    for shared prompt beginnings that one of them had computed before.
    """
    tiers = {}
    for item in sent:
        row = tiers.setdefault(item.arrival.tier.name, [0, 0])
        row[0] += 1
        row[1] += item.good
    good = [item for item in sent if item.good]
    prefilled = sum(counts["prefill_tokens"] for counts in engines)
    useful = _useful_prefill(good)
    kinds = {}
    for item in sent:
        if not item.good:
            word = item.kind or ("late" if item.is_complete else "cut")
            kinds[word] = kinds.get(word, 0) + 1
    return {
        "sent": len(sent),
        "good": len(good),
        "goodput": round(len(good) / max(len(sent), 1), 4),
        "goodput_by_tier": {n: round(g / s, 4) for n, (s, g) in tiers.items()},
        "not_good": kinds,
        "first_token_s": _quantiles([i.first for i in good if i.first is not None]),
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
        if item.arrival.shared >= 0:
            own = item.arrival.prompt.find("own") // 4
            if item.arrival.shared in seen:
                tokens -= own
            seen.add(item.arrival.shared)
        total += tokens
    return total


def tier_inversions(sent):
    """Count refusals for lack of room followed within a second by lower work.

    Lower work counts if its first byte came after the refusal and within
    the window; the first byte is the latest sign of its start that a
    caller sees, so starts shortly before the refusal may be counted too.
    """
    starts = sorted(
        (item.arrival.at + item.first, _RANK.get(item.arrival.tier.name, 0))
        for item in sent
        if item.first is not None
    )
    return sum(_followed(item, starts) for item in sent if item.kind in _CAPACITY_KINDS)


def _followed(item, starts):
    rank = _RANK.get(item.arrival.tier.name, 0)
    return any(
        item.ended < at <= item.ended + WINDOW_S and lower > rank
        for at, lower in starts
    )
