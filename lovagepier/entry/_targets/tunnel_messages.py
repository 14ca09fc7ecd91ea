"""Messages of tunnels: connections to targets through another entry host.

The host that opens a tunnel numbers it; a number is used once on its link.
"""

from dataclasses import dataclass

from lovagepier.frames import message

__all__ = [
    "TUNNEL_MESSAGES",
    "TunnelClosed",
    "TunnelData",
    "TunnelFlow",
    "TunnelOpen",
    "TunnelOpened",
]


@message("e.tunnel", since=2)
@dataclass(slots=True)
class TunnelOpen:
    """Asks to connect `host`, the sender, to one incarnation of a target."""

    number: int
    host: str
    target: str
    incarnation: str


@message("e.tunnel-up", since=2)
@dataclass(slots=True)
class TunnelOpened:
    """The receiver of `TunnelOpen` is connected to the target."""

    number: int


@message("e.tunnel-data", since=2)
@dataclass(slots=True)
class TunnelData:
    """Bytes to or from the target."""

    number: int
    data: bytes


@message("e.tunnel-flow", since=2)
@dataclass(slots=True)
class TunnelFlow:
    """Asks to stop (`paused`) or to resume sending the target's bytes."""

    number: int
    paused: bool


@message("e.tunnel-end", since=2)
@dataclass(slots=True)
class TunnelClosed:
    """The tunnel has ended, or could not be opened.

    `why` is empty after a clean end of the target's bytes. In the answer to
    `TunnelOpen`, `refused` tells that the target's host refuses connections, and
    `silent` that it doesn't answer; neither is set if the fault may be the sender's.
    `is_sure` tells that the sender reaches other targets of the service.
    """

    number: int
    why: str
    refused: bool = False
    silent: bool = False
    is_sure: bool = False


TUNNEL_MESSAGES = (TunnelClosed, TunnelData, TunnelFlow, TunnelOpen, TunnelOpened)
