"""Puts off refusals for lack of quota while a host starts."""

from lovagepier.entry._cluster.messages import Refused
from lovagepier.errors import ErrorKind

__all__ = ["RefusalDeferral"]

# How long a host that starts alone puts off refusals for lack of quota.
MAX_DEFER_S = 0.4


class RefusalDeferral:
    """Decides which refusals of this host's own coordinator are put off.

    A host that starts alone has a small part of each quota. Refusals for lack of more
    wait for the hosts that it is about to join, for `MAX_DEFER_S` after `started_at`.
    """

    __slots__ = ("_cfg", "_ends_at", "_followers", "_requests")

    def __init__(self, cfg, followers, requests, started_at):
        self._cfg = cfg
        self._followers = followers
        self._requests = requests
        self._ends_at = started_at + MAX_DEFER_S

    def defers(self, message, now):
        """Return whether an answer is a refusal that is put off."""
        if not isinstance(message, Refused) or message.kind != ErrorKind.OVER_QUOTA:
            return False
        if self._cfg.host_first_start == "true" or now >= self._ends_at:
            return False
        if self._followers.count():
            return False
        return self._requests.defer(message.id, self._ends_at)
