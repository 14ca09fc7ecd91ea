"""Final states of claims, sent to the ledger until they are in the store."""

import threading
from collections import OrderedDict

from lovagepier.logs import part_log

__all__ = ["Settlements"]

RESEND_PERIOD_S = 0.3
MAX_UNCONFIRMED = 20_000
MAX_RESENT_PER_PASS = 500


class Settlements:
    """Outcomes and releases that the present shard owner has yet to store.

    An owner may die or freeze between taking one in and writing it, so each
    is told again, to whoever owns the shard then, until one confirms it.
    """

    def __init__(self, node):
        self._node = node
        self._open = OrderedDict()
        self._handles = {}
        self._lock = threading.Lock()
        self._log = part_log("ledger")

    def start(self):
        """Run in a thread of its own until the node has stopped."""
        threading.Thread(target=self._run, name="settlements", daemon=True).start()

    def add(self, body):
        """Tell a `ClaimSettle` or `ClaimRelease` until it is confirmed."""
        with self._lock:
            self._open[body.nonce] = body
            if len(self._open) > MAX_UNCONFIRMED:
                _, dropped = self._open.popitem(last=False)
                self._log.error(
                    "a claim's final state was dropped", shard=dropped.shard
                )
        self._tell(body)

    def count(self):
        """Return the number not confirmed yet."""
        with self._lock:
            return len(self._open)

    def _tell(self, body):
        owner = self._node.roster.owner(f"ledger/{body.shard}")
        if owner is None:
            return

        def confirmed(_):
            with self._lock:
                self._open.pop(body.nonce, None)
                self._handles.pop(body.nonce, None)
            return True

        self._node.links.forget(self._handles.pop(body.nonce, 0))
        handle = self._node.ask_many(owner, body, confirmed, lambda _: None)
        with self._lock:
            if body.nonce in self._open:
                self._handles[body.nonce] = handle

    def _run(self):
        while not self._node.stopped.wait(RESEND_PERIOD_S):
            with self._lock:
                bodies = list(self._open.values())[:MAX_RESENT_PER_PASS]
            for body in bodies:
                self._tell(body)
