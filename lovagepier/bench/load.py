"""Open-loop load: arrivals fixed beforehand, times from the intended send."""

import random
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from lovagepier.client import Caller, CallerError

__all__ = ["Mix", "Arrival", "Sent", "Tier", "drive", "plan"]

MAX_THREADS = 600


@dataclass(slots=True, frozen=True)
class Tier:
    """One account's part of the load; `part` is its share of arrivals."""

    account: str
    key: str
    name: str
    part: float


@dataclass(slots=True, frozen=True)
class Mix:
    """Lengths in tokens and deadlines in milliseconds of short and long work.

    `shared_prompts` is how many prompt beginnings are shared; 0 makes every
    prompt its own.
    """

    long_part: float = 0.2
    short_tokens: int = 10
    long_tokens: int = 100
    short_prompt: int = 100
    long_prompt: int = 600
    short_deadline_ms: int = 2000
    long_deadline_ms: int = 6000
    shared_prompts: int = 0
    shared_length: int = 0


@dataclass(slots=True, frozen=True)
class Arrival:
    """One planned request: seconds from the start, and what is sent."""

    at: float
    tier: Tier
    route: str
    tokens: int
    prompt: str
    deadline_ms: int
    shared: int


@dataclass(slots=True)
class Sent:
    """One sent request; times in seconds from its intended send."""

    arrival: Arrival
    status: int = 0
    run: str = "no"
    kind: str = ""
    is_complete: bool = False
    first: float | None = None
    total: float = 0.0
    started: float = 0.0
    ended: float = 0.0
    gaps: list = field(default_factory=list)
    target: str = ""

    @property
    def good(self):
        """Whether the answer was whole and in time."""
        return self.is_complete and self.total * 1000 <= self.arrival.deadline_ms


def plan(tiers, mix, rate, seconds, seed, rate_at=None):
    """Return the arrivals of an open-loop load.

    `rate` is requests a second; `rate_at(part)` scales it by the part of
    the time gone. The same seed gives the same arrivals.
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
        tier = rng.choices(tiers, [t.part for t in tiers])[0]
        is_long = rng.random() < mix.long_part
        arrivals.append(_arrival(rng, mix, at, tier, is_long, number))
        number += 1


def _arrival(rng, mix, at, tier, is_long, number):
    tokens = mix.long_tokens if is_long else mix.short_tokens
    tokens = max(1, int(tokens * rng.uniform(0.7, 1.3)))
    length = mix.long_prompt if is_long else mix.short_prompt
    shared = rng.randrange(mix.shared_prompts) if mix.shared_prompts else -1
    begin = _words(f"shared{shared} ", mix.shared_length) if shared >= 0 else ""
    prompt = begin + _words(f"own{number}-{rng.random()} ", length)
    return Arrival(
        at=at,
        tier=tier,
        route="report" if is_long else "note",
        tokens=tokens,
        prompt=f"{prompt} [[tokens={tokens}]]",
        deadline_ms=mix.long_deadline_ms if is_long else mix.short_deadline_ms,
        shared=shared,
    )


def _words(word, tokens):
    """Return about `tokens` tokens of text made of one word."""
    length = tokens * 4
    return (word * (length // len(word) + 1))[:length]


def drive(addresses, arrivals, model="drafter", zone=""):
    """Send all arrivals at their times; return [`Sent`] in the same order."""
    callers = {}
    for arrival in arrivals:
        if arrival.tier.account not in callers:
            callers[arrival.tier.account] = Caller(addresses, arrival.tier.key, zone)
            callers[arrival.tier.account].entries()
    sent = [Sent(arrival) for arrival in arrivals]
    began = time.monotonic() + 0.2
    with ThreadPoolExecutor(MAX_THREADS) as threads:
        for item in sent:
            pause = began + item.arrival.at - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            caller = callers[item.arrival.tier.account]
            threads.submit(_fire, caller, item, began, model)
    return sent


def _fire(caller, item, began, model):
    arrival = item.arrival
    fields = {"model": model, "prompt": arrival.prompt, "stream": True}
    intended = began + arrival.at
    item.started = time.monotonic() - began
    try:
        reply = caller.complete(fields, arrival.deadline_ms, route=arrival.route)
    except CallerError:
        item.kind = "unreachable"
        item.total = time.monotonic() - intended
        return
    late = item.started - arrival.at
    item.status = reply.status
    item.run = reply.run
    item.kind = reply.error_kind() if reply.status != 200 else ""
    item.is_complete = reply.status == 200 and reply.is_complete
    item.total = time.monotonic() - intended
    item.ended = time.monotonic() - began
    if reply.first_byte_seconds is not None and reply.status == 200:
        item.first = reply.first_byte_seconds + late
    item.gaps = reply.gaps
    item.target = reply.headers.get("X-Target", "")
