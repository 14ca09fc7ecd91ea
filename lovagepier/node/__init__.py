"""One node: its actors, the state they share, its start and its graceful stop."""

from lovagepier.node._node import Node
from lovagepier.node._permits import InFlightRequest
from lovagepier.node._pool_messages import encode_work
from lovagepier.node._relay import Relay, TargetRequest
from lovagepier.node._timeline import merge_events

__all__ = [
    "InFlightRequest",
    "Node",
    "Relay",
    "TargetRequest",
    "encode_work",
    "merge_events",
]
