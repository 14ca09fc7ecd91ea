"""Targets, hosts and moves as the platform's store tells of them."""

from dataclasses import dataclass

__all__ = ["HostRecord", "RolloutOrder", "Target"]


@dataclass(slots=True, frozen=True)
class Target:
    """One back end: `born` (Unix ms) tells lives under one id apart."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    version: str
    slots: int
    draining: bool
    born: int

    @property
    def incarnation(self):
        """A name for this life of the target."""
        return f"{self.id}/{self.born}"


@dataclass(slots=True, frozen=True)
class HostRecord:
    """An entry host; `create_revision` is the store revision of its registration.

    `capacity_score` tells how fit it is to be home, 0 the least.
    """

    name: str
    peer_address: str
    create_revision: int
    capacity_score: int


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """The order to move a service's traffic to `version` in `duration_s`."""

    service: str
    version: str
    duration_s: float
    revision: int
