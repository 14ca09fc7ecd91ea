"""How long calls of a kind last, learnt from those that were complete."""

from collections import deque

__all__ = ["DurationEstimates", "call_size"]

# Only the last calls of a kind count.
MAX_SAMPLES = 64
MIN_SAMPLES = 3
QUANTILE = 0.95
MAX_KINDS = 1000
# Prompt tokens that take about as long as one output token.
PROMPT_TOKENS_PER_OUTPUT_TOKEN = 20


def call_size(prompt_tokens, output_tokens):
    """Return the size of a call in output tokens; 1 for a call without tokens."""
    return max(prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN + output_tokens, 1.0)


class DurationEstimates:
    """The durations of recent calls by kind, any hashable key.

    A call is expected to last as long as nearly all of the last ones, in proportion
    to their sizes.
    """

    __slots__ = ("_samples",)

    def __init__(self):
        self._samples = {}

    def learn(self, kind, size, seconds):
        """Add the duration of one complete call."""
        samples = self._samples.get(kind)
        if samples is None:
            if len(self._samples) >= MAX_KINDS:
                self._samples.pop(next(iter(self._samples)))
            samples = self._samples[kind] = deque(maxlen=MAX_SAMPLES)
        samples.append(seconds / size)

    def expect(self, kind, size):
        """Return the seconds that nearly all calls of a kind need, None if unknown."""
        samples = self._samples.get(kind, ())
        if len(samples) < MIN_SAMPLES:
            return None
        ranked = sorted(samples)
        return ranked[min(int(QUANTILE * len(ranked)), len(ranked) - 1)] * size
