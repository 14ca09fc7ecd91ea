"""Sends final states of claims to the ledger until they are stored."""

import threading
from collections import OrderedDict

from lovagepier.logs import component_logger

__all__ = ["Settlements"]

RESEND_PERIOD_S = 0.3
MAX_UNCONFIRMED = 20_000
MAX_RESENT_PER_PASS = 500


class Settlements:
    """Outcomes and releases that no shard owner has confirmed yet.

    An owner may crash or hang after it receives one and before it writes it, so
    each is sent again to the shard's current owner until an owner confirms it.
    """

    def __init__(self, node):
        self._node = node
        self._unconfirmed = OrderedDict()
        self._handles = {}
        self._lock = threading.Lock()
        self._log = component_logger("ledger")

    def start(self):
        """Run in a background thread until the node has stopped."""
        threading.Thread(target=self._run, name="settlements", daemon=True).start()

    def add(self, body):
        """Send a `ClaimSettle` or `ClaimRelease` until it is confirmed.

        With more than `MAX_UNCONFIRMED` of them the oldest is dropped.
        """
        with self._lock:
            self._unconfirmed[body.nonce] = body
            if len(self._unconfirmed) > MAX_UNCONFIRMED:
                _, dropped = self._unconfirmed.popitem(last=False)
                self._log.error(
                    "too many unconfirmed claims; dropped the oldest final state",
                    shard=dropped.shard,
                )
        self._send(body)

    def count(self):
        """Return the number of unconfirmed final states."""
        with self._lock:
            return len(self._unconfirmed)

    def _send(self, body):
        owner = self._node.roster.owner(f"ledger/{body.shard}")
        if owner is None:
            return

        def on_confirmed(_):
            with self._lock:
                self._unconfirmed.pop(body.nonce, None)
                self._handles.pop(body.nonce, None)
            return True

        self._node.links.forget(self._handles.pop(body.nonce, 0))
        handle = self._node.ask_many(owner, body, on_confirmed, lambda _: None)
        with self._lock:
            if body.nonce in self._unconfirmed:
                self._handles[body.nonce] = handle

    def _run(self):
        while not self._node.stopped.wait(RESEND_PERIOD_S):
            with self._lock:
                bodies = list(self._unconfirmed.values())[:MAX_RESENT_PER_PASS]
            for body in bodies:
                self._send(body)
