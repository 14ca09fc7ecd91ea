"""Messages and links between nodes: CBOR over websockets."""

from lovagepier.peers import messages
from lovagepier.peers._codec import CodecError, decode, encode
from lovagepier.peers._links import Links, PeerUnreachable

__all__ = ["CodecError", "Links", "PeerUnreachable", "decode", "encode", "messages"]
