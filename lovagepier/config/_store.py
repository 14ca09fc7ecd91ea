"""Versions of the configuration in the key-value store: read, patch, history."""

import copy
import json
from dataclasses import dataclass, field

import jsonpatch
from jsonpointer import JsonPointerException

from lovagepier.backing import Compare, Put, StoreError
from lovagepier.config._schema import check_document, empty_document
from lovagepier.errors import ErrorKind, RequestError

__all__ = ["ConfigRecord", "ConfigStore", "PatchError", "apply_patch"]

CONFIG_KEY = "lovagepier/config"
HISTORY_PREFIX = "lovagepier/config-history/"
MAX_PATCH_IDS = 500
MAX_READ_BACKS = 4


class PatchError(RequestError):
    """A patch was rejected.

    `faults` lists the faults of the result as [(JSON pointer, description)];
    `current` is the current version after a version conflict.
    """

    def __init__(self, kind, detail, faults=(), current=None):
        super().__init__(kind, detail)
        self.faults = list(faults)
        self.current = current


@dataclass(slots=True)
class ConfigRecord:
    """One stored version of the configuration.

    `patches` maps the ids of the last `MAX_PATCH_IDS` patches to the versions
    that they made; `revision` is the store's revision of the record.
    """

    version: int = 0
    document: dict = field(default_factory=empty_document)
    patches: dict = field(default_factory=dict)
    revision: int = 0

    def to_bytes(self):
        """Return the record encoded for the store, without `revision`."""
        body = {
            "version": self.version,
            "document": self.document,
            "patches": self.patches,
        }
        return json.dumps(body, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data, revision=0):
        """Decode a record that `to_bytes` has encoded."""
        body = json.loads(data)
        return cls(body["version"], body["document"], body["patches"], revision)


def apply_patch(document, operations):
    """Return a copy of the document with a JSON Patch applied.

    Raise `PatchError` if the patch does not apply or the result is invalid.
    """
    try:
        patched = jsonpatch.JsonPatch(operations).apply(copy.deepcopy(document))
    except (jsonpatch.JsonPatchException, JsonPointerException) as exc:
        raise PatchError(ErrorKind.CONFIG_INVALID, f"the patch does not apply: {exc}")
    except (TypeError, KeyError, ValueError, AttributeError):
        raise PatchError(ErrorKind.BAD_REQUEST, "the body is not a JSON Patch")
    faults = check_document(patched)
    if faults:
        detail = "; ".join(f"{pointer}: {text}" for pointer, text in faults)
        raise PatchError(ErrorKind.CONFIG_INVALID, detail, faults)
    return patched


class ConfigStore:
    """Reads and patches the configuration in the key-value store."""

    __slots__ = ("_store",)

    def __init__(self, store):
        self._store = store

    def read(self):
        """Return the current `ConfigRecord`, version 0 if there is none.

        Raise `StoreError`.
        """
        found = self._store.get(CONFIG_KEY)
        if found is None:
            return ConfigRecord()
        return ConfigRecord.from_bytes(found.value, found.mod_revision)

    def submit(self, operations, base, patch_id, author, at):
        """Commit a patch; return a `ConfigRecord` that contains it.

        `base` is the version that the patch was made for; None skips the check.
        The call is idempotent by `patch_id`: a patch that was accepted before is
        not applied again. If the store's answer to the write is lost, the
        configuration is read back to find out whether the patch was accepted.
        Raise `PatchError` for a version conflict or an invalid result, and
        `RequestError` if the store does not answer.
        """
        try:
            record = self.read()
        except StoreError as exc:
            raise RequestError(ErrorKind.CONFIG_UNAVAILABLE, str(exc))
        if patch_id in record.patches:
            return record
        if base is not None and base != record.version:
            raise PatchError(
                ErrorKind.CONFIG_CONFLICT,
                f"the patch is for version {base}, version {record.version} is current",
                current=record.version,
            )
        document = apply_patch(record.document, operations)
        new = self._next_record(record, document, patch_id)
        entry = {"patch": operations, "id": patch_id, "author": author, "at": at}
        return self._commit(record, new, entry, patch_id)

    def _next_record(self, record, document, patch_id):
        patches = dict(record.patches)
        patches[patch_id] = record.version + 1
        while len(patches) > MAX_PATCH_IDS:
            del patches[next(iter(patches))]
        return ConfigRecord(record.version + 1, document, patches)

    def _commit(self, old, new, entry, patch_id):
        history = f"{HISTORY_PREFIX}{new.version:010d}"
        compares = [Compare(CONFIG_KEY, "mod", old.revision)]
        writes = [
            Put(CONFIG_KEY, new.to_bytes()),
            Put(history, json.dumps(entry).encode()),
        ]
        try:
            result = self._store.txn(compares, writes)
        except StoreError:
            return self._read_back(patch_id)
        if not result.succeeded:
            # An earlier attempt with this patch id whose answer was lost may have
            # made the newer version.
            return self._read_back(patch_id)
        new.revision = result.revision
        return new

    def _read_back(self, patch_id):
        for _ in range(MAX_READ_BACKS):
            try:
                record = self.read()
            except StoreError:
                continue
            if patch_id in record.patches:
                return record
            raise PatchError(
                ErrorKind.CONFIG_CONFLICT,
                f"version {record.version} is current",
                current=record.version,
            )
        raise RequestError(
            ErrorKind.CONFIG_UNAVAILABLE,
            "the store stopped answering; send the same patch id again to learn "
            "whether it was accepted",
            run="maybe",
        )

    def history(self, limit=100):
        """Return [(version, entry)] of the newest patches, newest first.

        An entry has the keys patch, id, author and at. Raise `StoreError`.
        """
        found = self._store.range(HISTORY_PREFIX, limit=limit, newest_first=True)
        return [
            (int(item.key.rpartition("/")[2]), json.loads(item.value)) for item in found
        ]
