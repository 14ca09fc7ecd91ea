"""Clients of the platform's services: key-value store, host list, weight store."""

from lovagepier.backing import _etcd  # noqa: F401  registers its adapter
from lovagepier.backing._hosts import HostList, HostRecord
from lovagepier.backing._port import (
    Compare,
    Delete,
    KeyValue,
    Put,
    Store,
    StoreError,
    TxnResult,
    open_store,
    register_store,
)
from lovagepier.backing._weights import WeightStore

__all__ = [
    "Compare",
    "Delete",
    "HostList",
    "HostRecord",
    "KeyValue",
    "Put",
    "Store",
    "StoreError",
    "TxnResult",
    "WeightStore",
    "open_store",
    "register_store",
]
