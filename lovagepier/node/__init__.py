"""One node: its actors, what they share, and how it starts and stops."""

from lovagepier.node._exchange import Exchange, Relay
from lovagepier.node._node import Node
from lovagepier.node._permits import InFlight
from lovagepier.node._pool_messages import work_fields
from lovagepier.node._timeline import merge_events

__all__ = ["Exchange", "InFlight", "Node", "Relay", "merge_events", "work_fields"]
