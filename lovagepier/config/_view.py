"""A typed, read-only view of one version of the configuration.

The document's "moves" are rollouts: moves of a model's traffic to a version.
"""

from dataclasses import dataclass

from lovagepier.decisions.rollouts.rollout_share import Rollout

__all__ = [
    "DEFAULT_LINK_BURST_BYTES",
    "DEFAULT_LINK_BYTES_PER_S",
    "Account",
    "ConfigView",
    "Model",
    "Target",
]

DEFAULT_LINK_BYTES_PER_S = 1_000_000
DEFAULT_LINK_BURST_BYTES = 2_000_000


@dataclass(slots=True, frozen=True)
class Account:
    """A client account; `tier` 0 is the highest.

    `max_deadline_s` is None for the entry host's limit.
    """

    name: str
    tier: int
    weight: float
    max_deadline_s: float | None


@dataclass(slots=True, frozen=True)
class Model:
    """A model; `serving` is the version that gets traffic outside of rollouts."""

    name: str
    serving: str
    weights_bytes: float


@dataclass(slots=True, frozen=True)
class Target:
    """A back end: an engine or a records worker.

    `kind` is engine or service; an engine has a model and version, a worker a
    service. A `fenced` target refuses orders with an outdated fencing number.
    """

    name: str
    kind: str
    address: str
    zone: str
    region: str
    model: str
    version: str
    service: str
    adapter: str
    fenced: bool
    slots: int
    generation: str

    @property
    def subject(self):
        """The model or service that the target runs; names its pool in a region."""
        return self.model or self.service


class ConfigView:
    """One version of the configuration with its lookup tables; immutable."""

    __slots__ = (
        "account_by_hash",
        "accounts",
        "document",
        "limits",
        "models",
        "operator_by_hash",
        "rollouts",
        "routes",
        "services",
        "targets",
        "tiers",
        "version",
        "zones",
    )

    def __init__(self, version, document):
        self.version = version
        self.document = document
        self.tiers = list(document["tiers"])
        self.zones = {n: zone["region"] for n, zone in document["zones"].items()}
        self.accounts = {n: self._account(n) for n in document["accounts"]}
        self.account_by_hash = _owner_by_hash(document["accounts"])
        self.operator_by_hash = _owner_by_hash(document["operators"])
        self.models = {n: self._model(n) for n in document["models"]}
        self.services = document["services"]
        self.routes = set(document["routes"])
        self.targets = {n: self._target(n) for n in document["targets"]}
        self.rollouts = {n: self._rollout(n) for n in document["moves"]}
        self.limits = document["limits"]

    def _account(self, name):
        raw = self.document["accounts"][name]
        longest = raw.get("longest_deadline_ms")
        return Account(
            name,
            self.tiers.index(raw["tier"]),
            raw.get("weight", 1.0),
            longest / 1000.0 if longest else None,
        )

    def _model(self, name):
        raw = self.document["models"][name]
        return Model(name, raw["serving"], raw.get("weights_bytes", 0.0))

    def _target(self, name):
        raw = self.document["targets"][name]
        default = "openai" if raw["kind"] == "engine" else "http"
        return Target(
            name=name,
            kind=raw["kind"],
            address=raw["address"],
            zone=raw["zone"],
            region=self.zones[raw["zone"]],
            model=raw.get("model", ""),
            version=raw.get("version", ""),
            service=raw.get("service", ""),
            adapter=raw.get("adapter", default),
            fenced=raw.get("fenced", False),
            slots=raw.get("slots", 0),
            generation=raw.get("generation", ""),
        )

    def _rollout(self, name):
        raw = self.document["moves"][name]
        serving = self.document["models"][raw["model"]]["serving"]
        fields = {}
        if "steps" in raw:
            fields["steps"] = tuple(tuple(step) for step in raw["steps"])
        return Rollout(
            id=name,
            model=raw["model"],
            old=raw.get("from", serving),
            new=raw["to"],
            start=raw["start"],
            finish_by=raw["finish_by"],
            **fields,
        )

    def rollout_state(self, name):
        """Return the recorded state of a rollout: open, done or taken-back.

        The state taken-back means rolled back.
        """
        return self.document["moves"][name].get("state", "open")

    def clear_count(self, name):
        """Return how often operators have cleared a rollout's rollback trigger."""
        return self.document["moves"][name].get("cleared", 0)

    def open_rollout(self, model):
        """Return the open rollout of a model, or None."""
        for name, rollout in self.rollouts.items():
            if rollout.model == model and self.rollout_state(name) == "open":
                return rollout
        return None

    def pools(self):
        """Return the targets by pool: {(subject, region): [Target]}."""
        pools = {}
        for target in self.targets.values():
            pools.setdefault((target.subject, target.region), []).append(target)
        return pools


def _owner_by_hash(table):
    return {item: name for name, entry in table.items() for item in entry["key_hashes"]}
