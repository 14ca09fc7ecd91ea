"""Targets, entry hosts and rollout orders as read from the platform's store."""

from dataclasses import dataclass

__all__ = ["HostRecord", "RolloutOrder", "Target"]


@dataclass(slots=True, frozen=True)
class Target:
    """One backend process.

    `started_at_ms` (Unix time) changes when a target restarts under the same
    id. `slots` is the number of requests that it runs at once. A `draining`
    target takes no new work. `cold_left_s` is how long it stays cold, by itself.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    version: str
    slots: int
    draining: bool
    started_at_ms: int
    cold_left_s: float = 0.0

    @property
    def incarnation(self):
        """An id that changes with each restart of the target."""
        return f"{self.id}/{self.started_at_ms}"


@dataclass(slots=True, frozen=True)
class HostRecord:
    """A registered entry host.

    `peer_address` is the HOST:PORT for other entry hosts. `create_revision`
    is the store revision of its registration: the lowest has been registered
    longest. Hosts with a higher `capacity_score` are preferred as coordinator;
    0 is the lowest score. `boot` identifies the incarnation that registered, `format`
    is the format of its build, 0 if it is not stated.
    """

    name: str
    peer_address: str
    create_revision: int
    capacity_score: int
    boot: str
    format: int = 0

    @property
    def link_address(self):
        """The (address, port) of `peer_address`."""
        address, port = self.peer_address.rsplit(":", 1)
        return address, int(port)


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """An order to shift a service's traffic to `version` within `duration_s`.

    `revision` is the store revision of the order.
    """

    service: str
    version: str
    duration_s: float
    revision: int
