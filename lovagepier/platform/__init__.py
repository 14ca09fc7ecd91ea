"""Wire formats of the users' platform and a client of its store; no scheduling."""

from lovagepier.platform._directory import decode_lookup, encode_addresses
from lovagepier.platform._documents import (
    CONFIG_KEY,
    TARGET_PREFIX,
    decode_address,
    decode_catalog,
    decode_rollout,
    decode_rollout_state,
    decode_target,
    encode_rollout_state,
    is_rollout_state,
    rollout_service,
    rollout_state_key,
)
from lovagepier.platform._fields import (
    MAX_DOCUMENT_BYTES,
    DocumentError,
    is_key,
    load_document,
    read_name,
    read_text,
    read_whole,
)
from lovagepier.platform._headers import (
    TargetResponse,
    decode_call,
    decode_response,
    encode_call,
    is_response_mark,
    relayed_headers,
    with_last_event_id,
)
from lovagepier.platform._revisions import era_of, make_revision, number_of
from lovagepier.platform._store import Event, Item, PlatformStore, StoreFault

__all__ = [
    "CONFIG_KEY",
    "MAX_DOCUMENT_BYTES",
    "TARGET_PREFIX",
    "DocumentError",
    "Event",
    "Item",
    "PlatformStore",
    "StoreFault",
    "TargetResponse",
    "decode_address",
    "decode_response",
    "decode_call",
    "decode_lookup",
    "decode_catalog",
    "decode_rollout",
    "decode_rollout_state",
    "decode_target",
    "encode_addresses",
    "encode_call",
    "encode_rollout_state",
    "era_of",
    "is_response_mark",
    "is_key",
    "is_rollout_state",
    "load_document",
    "make_revision",
    "number_of",
    "read_name",
    "read_text",
    "read_whole",
    "rollout_service",
    "rollout_state_key",
    "relayed_headers",
    "with_last_event_id",
]
