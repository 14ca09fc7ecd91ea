"""The registry of scenarios for the load benchmark."""

from dataclasses import dataclass, field

from lovagepier.bench.load import Mix

__all__ = ["SCENARIOS", "EngineSpec", "Scenario", "scenario"]

SCENARIOS = {}


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """The options of one engine stand-in.

    `pace` is in seconds a token at a batch of one, `prefill` in tokens a second;
    `lag` is how many seconds the load report lags.
    """

    zone: str
    pace: float = 0.01
    prefill: float = 20_000
    slots: int = 8
    version: str = "v1"
    cache_blocks: int = 2000
    lag: float = 1.0


@dataclass(slots=True)
class Scenario:
    """A fleet, a load and the events during the run.

    `rate` is in requests a second; `rate_at` is as in `plan_arrivals`. `events`
    is a tuple of (fraction of the time in [0, 1], action name). `move_to` is
    the version that a rollout moves traffic to.
    """

    name: str = ""
    engines: tuple = (
        EngineSpec("a1"),
        EngineSpec("a1"),
        EngineSpec("a2"),
        EngineSpec("a2"),
    )
    zones: dict = field(default_factory=lambda: {"a1": "west", "a2": "west"})
    node_zones: tuple = ("a1", "a2", "a1")
    mix: Mix = field(default_factory=Mix)
    rate: float = 50.0
    rate_at: object = None
    events: tuple = ()
    move_to: str = ""


def scenario(name):
    """Return a decorator that registers a function which returns a `Scenario`."""

    def register(function):
        SCENARIOS[name] = function
        return function

    return register


@scenario("steady")
def steady():
    """Load well below capacity."""
    return Scenario("steady", rate=45.0)


@scenario("burst")
def burst():
    """Load of one and a half times the capacity: all tiers, long and short requests."""
    return Scenario("burst", rate=120.0)


@scenario("unlike")
def mixed_speeds():
    """Engines with speeds of 1:2:4 and load reports that lag two seconds."""
    engines = (
        EngineSpec("a1", 0.005, 40_000, lag=2.0),
        EngineSpec("a1", 0.01, 20_000, lag=2.0),
        EngineSpec("a2", 0.01, 20_000, lag=2.0),
        EngineSpec("a2", 0.02, 10_000, lag=2.0),
        EngineSpec("a2", 0.02, 10_000, lag=2.0),
    )
    return Scenario("unlike", engines=engines, rate=125.0)


@scenario("prefix")
def prefix():
    """Prompts with shared prefixes, and caches too small for all of them."""
    engines = tuple(
        EngineSpec(zone, 0.006, 8000, cache_blocks=400)
        for zone in ("a1", "a1", "a2", "a2")
    )
    mix = Mix(
        shared_prefixes=40,
        shared_prefix_tokens=1600,
        short_prompt_tokens=40,
        long_prompt_tokens=80,
    )
    return Scenario("prefix", engines=engines, mix=mix, rate=35.0)


def _with_new_version():
    engines = (
        EngineSpec("a1"),
        EngineSpec("a1"),
        EngineSpec("a2"),
        EngineSpec("a2"),
        EngineSpec("a1", version="v2"),
        EngineSpec("a1", version="v2"),
        EngineSpec("a2", version="v2"),
        EngineSpec("a2", version="v2"),
    )
    return Scenario(engines=engines, rate=45.0, move_to="v2")


@scenario("bad-version")
def bad_version():
    """A rollout of a version that starts to fail at 40 % of the time."""
    result = _with_new_version()
    result.name = "bad-version"
    result.events = ((0.4, "new-version-fails"),)
    return result


@scenario("good-version")
def good_version():
    """A rollout of a healthy version."""
    result = _with_new_version()
    result.name = "good-version"
    return result


@scenario("kv-outage")
def kv_outage():
    """The key-value store is down for 80 % of the time."""
    return Scenario("kv-outage", rate=45.0, events=((0.1, "kv-down"), (0.9, "kv-up")))


@scenario("node-loss")
def node_loss():
    """A node is killed at half of the time."""
    return Scenario("node-loss", rate=45.0, events=((0.5, "kill-node"),))


@scenario("regions")
def regions():
    """All callers in one region, half of the engines in the other."""
    engines = (
        EngineSpec("a1"),
        EngineSpec("a2"),
        EngineSpec("b1"),
        EngineSpec("b1"),
    )
    return Scenario(
        "regions",
        engines=engines,
        zones={"a1": "west", "a2": "west", "b1": "east"},
        node_zones=("a1", "a2", "b1"),
        rate=55.0,
    )
