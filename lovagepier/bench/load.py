"""Open-loop load: arrival times are planned in advance.

Latencies count from the planned time of a request, so that a slow system can't
hide its delay by holding up the sender.
"""

import random
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from lovagepier.client import Caller, CallerError

__all__ = ["Mix", "Arrival", "SentRequest", "Tier", "send_load", "plan_arrivals"]

MAX_THREADS = 600


@dataclass(slots=True, frozen=True)
class Tier:
    """One account's part of the load; `share` is its fraction of the arrivals."""

    account: str
    key: str
    name: str
    share: float


@dataclass(slots=True, frozen=True)
class Mix:
    """The mix of short and long requests.

    `long_share` is the fraction of long ones. `shared_prefixes` is the number
    of different prompt prefixes that requests share, each of
    `shared_prefix_tokens`; 0 makes every prompt unique.
    """

    long_share: float = 0.2
    short_tokens: int = 10
    long_tokens: int = 100
    short_prompt_tokens: int = 100
    long_prompt_tokens: int = 600
    short_deadline_ms: int = 2000
    long_deadline_ms: int = 6000
    shared_prefixes: int = 0
    shared_prefix_tokens: int = 0


@dataclass(slots=True, frozen=True)
class Arrival:
    """One planned request; `at` is in seconds from the start.

    `prefix_number` is the number of its shared prefix, -1 for none.
    """

    at: float
    tier: Tier
    route: str
    tokens: int
    prompt: str
    deadline_ms: int
    prefix_number: int


@dataclass(slots=True)
class SentRequest:
    """The outcome of one request.

    `first_byte_s` and `total_s` count from the planned arrival, `started_s` and
    `ended_s` from the start of the load. `run` and `kind` are the run status
    and the error kind of the reply, `gaps` the seconds between its chunks.
    """

    arrival: Arrival
    status: int = 0
    run: str = "no"
    kind: str = ""
    is_complete: bool = False
    first_byte_s: float | None = None
    total_s: float = 0.0
    started_s: float = 0.0
    ended_s: float = 0.0
    gaps: list = field(default_factory=list)
    target: str = ""

    @property
    def good(self):
        """Whether the answer was complete and within the deadline."""
        return self.is_complete and self.total_s * 1000 <= self.arrival.deadline_ms


def plan_arrivals(tiers, mix, rate, seconds, seed, rate_at=None):
    """Return the `Arrival`s of an open-loop load, in order of time.

    `rate` is in requests a second; `rate_at` maps the elapsed fraction of the
    time, 0 to 1, to a factor of the rate. The same seed gives the same arrivals.
    """
    rng = random.Random(seed)
    arrivals = []
    at = 0.0
    number = 0
    while True:
        scale = rate_at(at / seconds) if rate_at else 1.0
        at += rng.expovariate(rate * max(scale, 1e-6))
        if at >= seconds:
            return arrivals
        tier = rng.choices(tiers, [t.share for t in tiers])[0]
        is_long = rng.random() < mix.long_share
        arrivals.append(_make_arrival(rng, mix, at, tier, is_long, number))
        number += 1


def _make_arrival(rng, mix, at, tier, is_long, number):
    tokens = mix.long_tokens if is_long else mix.short_tokens
    tokens = max(1, int(tokens * rng.uniform(0.7, 1.3)))
    prompt_tokens = mix.long_prompt_tokens if is_long else mix.short_prompt_tokens
    prefix_number = rng.randrange(mix.shared_prefixes) if mix.shared_prefixes else -1
    prefix = (
        _filler_text(f"shared{prefix_number} ", mix.shared_prefix_tokens)
        if prefix_number >= 0
        else ""
    )
    prompt = prefix + _filler_text(f"own{number}-{rng.random()} ", prompt_tokens)
    return Arrival(
        at=at,
        tier=tier,
        route="report" if is_long else "note",
        tokens=tokens,
        prompt=f"{prompt} [[tokens={tokens}]]",
        deadline_ms=mix.long_deadline_ms if is_long else mix.short_deadline_ms,
        prefix_number=prefix_number,
    )


def _filler_text(word, tokens):
    """Return about `tokens` tokens of text that repeats one word."""
    length = tokens * 4
    return (word * (length // len(word) + 1))[:length]


def send_load(addresses, arrivals, model="drafter", zone=""):
    """Send all arrivals at their times; return [`SentRequest`] in the same order.

    Raise `CallerError` if no entry host answers at the start.
    """
    callers = {}
    for arrival in arrivals:
        if arrival.tier.account not in callers:
            callers[arrival.tier.account] = Caller(addresses, arrival.tier.key, zone)
            callers[arrival.tier.account].entries()
    sent = [SentRequest(arrival) for arrival in arrivals]
    started = time.monotonic() + 0.2
    with ThreadPoolExecutor(MAX_THREADS) as threads:
        for item in sent:
            pause = started + item.arrival.at - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            caller = callers[item.arrival.tier.account]
            threads.submit(_send, caller, item, started, model)
    return sent


def _send(caller, item, started, model):
    arrival = item.arrival
    fields = {"model": model, "prompt": arrival.prompt, "stream": True}
    intended = started + arrival.at
    item.started_s = time.monotonic() - started
    try:
        reply = caller.complete(fields, arrival.deadline_ms, route=arrival.route)
    except CallerError:
        item.kind = "unreachable"
        item.total_s = time.monotonic() - intended
        return
    delay = item.started_s - arrival.at
    item.status = reply.status
    item.run = reply.run
    item.kind = reply.error_kind() if reply.status != 200 else ""
    item.is_complete = reply.status == 200 and reply.is_complete
    item.total_s = time.monotonic() - intended
    item.ended_s = time.monotonic() - started
    if reply.first_byte_seconds is not None and reply.status == 200:
        item.first_byte_s = reply.first_byte_seconds + delay
    item.gaps = reply.gaps
    item.target = reply.headers.get("X-Target", "")
