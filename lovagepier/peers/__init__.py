"""Messages and links between nodes: CBOR over WebSockets."""

from lovagepier.peers import messages
from lovagepier.peers._links import Links, PeerUnreachable

__all__ = ["Links", "PeerUnreachable", "messages"]
