"""The platform's list of live and leaving hosts, which lags behind."""

import json
from dataclasses import dataclass

import urllib3

from lovagepier.backing._port import (
    MAX_ANSWER_BYTES,
    MAX_ANSWER_TIMEOUTS,
    StoreError,
)
from lovagepier.http_pools import PoolManager, request_whole

__all__ = ["HostList", "HostRecord"]


@dataclass(slots=True, frozen=True)
class HostRecord:
    """One host of the list.

    `state` is "live" or "leaving" (draining). `incarnation` changes when the host
    restarts. `peer` is the peer address if the host runs a node, otherwise empty.
    """

    name: str
    state: str
    incarnation: str = ""
    peer: str = ""


class HostList:
    """Reads the list over HTTP."""

    __slots__ = ("_http", "_timeout", "_url")

    def __init__(self, cfg):
        self._url = cfg.platform_hosts
        self._timeout = cfg.platform_timeout
        self._http = PoolManager(maxsize=2, retries=False)

    def read(self):
        """Return [`HostRecord`]; empty if no list is configured.

        Raise `StoreError` if the list can't be read or is malformed.
        """
        if not self._url:
            return []
        try:
            _, _, data = request_whole(
                self._http,
                "GET",
                f"{self._url}/hosts",
                MAX_ANSWER_BYTES,
                self._timeout * MAX_ANSWER_TIMEOUTS,
                timeout=self._timeout,
            )
            body = json.loads(data)
            return [self._record(item) for item in body["hosts"]]
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as exc:
            raise StoreError(f"the host list can't be read: {type(exc).__name__}")

    def _record(self, raw):
        return HostRecord(
            raw["name"], raw["state"], raw.get("incarnation", ""), raw.get("peer", "")
        )
