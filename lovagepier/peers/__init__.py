"""Messages and links between nodes: CBOR over WebSockets."""

from lovagepier.peers import messages
from lovagepier.peers._codec import (
    MAX_FRAME_BYTES,
    CodecError,
    decode,
    encode,
    message,
)
from lovagepier.peers._links import Links, PeerUnreachable

__all__ = [
    "MAX_FRAME_BYTES",
    "CodecError",
    "Links",
    "PeerUnreachable",
    "decode",
    "encode",
    "message",
    "messages",
]
