"""The interface of key-value stores and the registry of their adapters."""

from dataclasses import dataclass

__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_ANSWER_TIMEOUTS",
    "Compare",
    "Delete",
    "KeyValue",
    "Put",
    "Store",
    "StoreError",
    "TxnResult",
    "open_store",
    "register_store",
]

# Longer answers of a platform service are not read. A configuration with its history
# of patches is far shorter.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# An answer may last for so many times the timeout of one read.
MAX_ANSWER_TIMEOUTS = 3.0
_ADAPTERS = {}


class StoreError(Exception):
    """A call to a platform service failed; a write may or may not have taken effect."""


@dataclass(slots=True, frozen=True)
class KeyValue:
    """One stored key with its revisions and its lease (0 for none)."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Compare:
    """A condition of a transaction: a revision of `key` equals `revision`.

    `revision_kind` is "mod" (last change) or "create". Revision 0 means that
    the key does not exist.
    """

    key: str
    revision_kind: str
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """An operation that writes `value` at `key`, bound to `lease` unless it is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Delete:
    """An operation that deletes `key`."""

    key: str


@dataclass(slots=True, frozen=True)
class TxnResult:
    """Whether a transaction's conditions held, and the store's revision after it."""

    succeeded: bool
    revision: int


class Store:
    """Base class of key-value store adapters. Times are in seconds.

    Every method may raise `StoreError`. `calls` counts the calls made.
    """

    calls = 0

    def get(self, key):
        """Return the `KeyValue` at `key`, or None."""
        raise NotImplementedError

    def range(self, prefix, limit=0, newest_first=False):
        """Return the `KeyValue` items whose keys begin with `prefix`.

        `limit` 0 returns all of them.
        """
        raise NotImplementedError

    def txn(self, compares, operations):
        """Apply `operations` atomically if all `compares` hold; return `TxnResult`."""
        raise NotImplementedError

    def lease_grant(self, seconds):
        """Return the id of a new lease that expires after `seconds`."""
        raise NotImplementedError

    def lease_keepalive(self, lease):
        """Renew a lease; return the remaining seconds, 0 if it has expired."""
        raise NotImplementedError

    def lease_revoke(self, lease):
        """Revoke a lease, which deletes the keys bound to it."""
        raise NotImplementedError

    def watch(self, key, revision, timeout):
        """Return the first `KeyValue` of `key` after `revision`, or None on timeout."""
        raise NotImplementedError


def register_store(name):
    """Return a decorator that registers a `Store` adapter under `name`."""

    def register(cls):
        _ADAPTERS[name] = cls
        return cls

    return register


def open_store(cfg):
    """Return a store adapter of the kind that the settings name.

    Raise `ValueError` for an unknown kind.
    """
    if cfg.platform_store_kind not in _ADAPTERS:
        names = ", ".join(sorted(_ADAPTERS))
        raise ValueError(
            f"no store adapter {cfg.platform_store_kind!r}; there are: {names}"
        )
    return _ADAPTERS[cfg.platform_store_kind](cfg)
