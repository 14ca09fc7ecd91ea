"""Estimates of decode lengths and target speeds, learnt from outcomes."""

__all__ = ["LengthEstimates", "Mean", "SpeedEstimate"]

# Weight of a new sample in the means of lengths and of speeds.
_LENGTH_GAIN = 0.1
_SPEED_GAIN = 0.15
_MAX_KEYS = 20_000
_MIN_TOKENS_PER_S = 1.0
_MAX_TOKENS_PER_S = 1e6
_MIN_TOKEN_SECONDS = 1e-4
_RELAX_FACTOR = 0.95
# Outcomes needed before a learnt length replaces the default.
MIN_SAMPLES = 3
# The times of shorter prefills are too little evidence of the rate.
MIN_PREFILL_TOKENS = 32


class Mean:
    """An exponentially weighted mean; `count` is the number of samples."""

    __slots__ = ("count", "gain", "value")

    def __init__(self, value, gain):
        self.value = value
        self.gain = gain
        self.count = 0

    def add(self, sample):
        """Add one sample; early samples weigh more."""
        self.count += 1
        gain = max(self.gain, 1.0 / (self.count + 1))
        self.value += gain * (sample - self.value)


class LengthEstimates:
    """Expected decode length in tokens per account and route.

    Without enough samples of the pair those of the route count, then the default.
    """

    __slots__ = ("_all", "_default", "_means")

    def __init__(self, default_tokens=200):
        self._default = default_tokens
        self._all = Mean(default_tokens, _LENGTH_GAIN)
        self._means = {}

    def expect(self, account, route, limit):
        """Return the expected decode tokens, at most `limit` unless that is 0."""
        value = self._learnt(account, route)
        if value is None:
            value = self._default
        return min(value, limit) if limit else value

    def knows(self, account, route, limit):
        """Return whether `expect` is based on a limit or samples, not a default."""
        return bool(limit) or self._learnt(account, route) is not None

    def _learnt(self, account, route):
        for key in ((account, route), ("", route)):
            mean = self._means.get(key)
            if mean is not None and mean.count >= MIN_SAMPLES:
                return mean.value
        return None

    def typical(self):
        """Return the mean decode length in tokens over all requests."""
        return self._all.value

    def learn(self, account, route, tokens):
        """Add the decode length in tokens of one completed request."""
        self._all.add(tokens)
        for key in ((account, route), ("", route)):
            mean = self._means.get(key)
            if mean is None:
                if len(self._means) >= _MAX_KEYS:
                    self._means.pop(next(iter(self._means)))
                mean = self._means[key] = Mean(tokens, _LENGTH_GAIN)
            mean.add(tokens)


class SpeedEstimate:
    """Prefill and decode speed of one target.

    `prefill_rate` is in tokens per second on an otherwise idle target;
    `token_seconds` is the time per token of one stream at the usual batch size;
    `known` tells whether any decode has been observed.
    """

    __slots__ = ("_pace", "_rate", "known", "prefill_rate", "token_seconds")

    def __init__(self, prefill_rate=4000.0, token_seconds=0.02):
        self._rate = Mean(prefill_rate, _SPEED_GAIN)
        self._pace = Mean(token_seconds, _SPEED_GAIN)
        self.prefill_rate = prefill_rate
        self.token_seconds = token_seconds
        self.known = False

    def learn_prefill(self, tokens, seconds):
        """Add a prefill of `tokens` that took `seconds`; ignore very short ones."""
        if tokens >= MIN_PREFILL_TOKENS and seconds > 0:
            self._rate.add(tokens / seconds)
            self.prefill_rate = max(self._rate.value, _MIN_TOKENS_PER_S)

    def learn_decode(self, tokens, seconds):
        """Add a decode of `tokens`, the first one at 0 and the last at `seconds`."""
        if tokens >= 2 and seconds >= 0:
            self.learn_token_time(seconds / (tokens - 1))

    def learn_token_time(self, seconds):
        """Add the time of one token, or of a call that counts as one token."""
        self._pace.add(seconds)
        self.token_seconds = self._pace.value
        self.known = True

    def relax(self):
        """Raise the estimated speeds of a target that got no requests recently.

        A target whose estimate is too low gets no requests, so without this no
        outcome would ever correct it.
        """
        self._pace.value = max(self._pace.value * _RELAX_FACTOR, _MIN_TOKEN_SECONDS)
        self._rate.value = min(self._rate.value / _RELAX_FACTOR, _MAX_TOKENS_PER_S)
        self.token_seconds = self._pace.value
        self.prefill_rate = max(self._rate.value, _MIN_TOKENS_PER_S)

    def assume(self, prefill_rate, token_seconds):
        """Replace the estimates until further outcomes correct them."""
        self._rate.value = self.prefill_rate = prefill_rate
        self._pace.value = self.token_seconds = token_seconds

    def service_seconds(self, prefill_tokens, decode_tokens):
        """Return the expected seconds of one request on a free slot."""
        prefill = prefill_tokens / self.prefill_rate
        return prefill + decode_tokens * self.token_seconds
