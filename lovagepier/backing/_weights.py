"""The platform's rate-limited store of model weights: its contents and its rate."""

import json

import urllib3

from lovagepier.backing._port import (
    MAX_ANSWER_BYTES,
    MAX_ANSWER_TIMEOUTS,
    StoreError,
)
from lovagepier.http_pools import PoolManager, request_whole

__all__ = ["WeightStore"]


class WeightStore:
    """Reads the sizes of weights and the byte rate; engines fetch the weights."""

    __slots__ = ("_http", "_timeout", "_url")

    def __init__(self, cfg):
        self._url = cfg.platform_weights
        self._timeout = cfg.platform_timeout
        self._http = PoolManager(maxsize=2, retries=False)

    def read(self):
        """Return ({(model, version): bytes}, bytes a second).

        Returns ({}, 0.0) if no weight store is configured. Raise `StoreError` if
        it can't be read or its answer is malformed.
        """
        if not self._url:
            return {}, 0.0
        try:
            _, _, data = request_whole(
                self._http,
                "GET",
                f"{self._url}/weights",
                MAX_ANSWER_BYTES,
                self._timeout * MAX_ANSWER_TIMEOUTS,
                timeout=self._timeout,
            )
            body = json.loads(data)
            sizes = {(w["model"], w["version"]): w["bytes"] for w in body["weights"]}
            return sizes, float(body["bytes_per_second"])
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as exc:
            raise StoreError(f"the weight store can't be read: {type(exc).__name__}")
