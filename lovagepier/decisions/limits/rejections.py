"""Targets that fall over if they must reject too many requests for want of room."""

import math
from collections import deque

__all__ = ["RejectionLimit"]

# Rejections count for the second that targets state, and for the time until the last
# host's report of one arrives.
WINDOW_S = 1.25
# A start that the target has not rejected by then was accepted.
ACCEPTED_AFTER_S = 0.25
# A new coordinator starts nothing before the hosts have reported what runs there.
SETTLE_S = 0.25
# A target that tolerates next to no rejections gets nothing that it may reject until
# this long after requests may have been left running there.
LOST_RUN_S = 0.5
# Part of the stated number that is used. The rest is for requests that are on their way
# when a rejection becomes known, and for other coordinators.
USED_FRACTION = 0.5


class RejectionLimit:
    """Bounds the requests that one target may have to reject in a second.

    `per_second` is the number of rejections that the target tolerates, infinite if it
    states none; `is_stated` tells whether it does. Of a number that several
    coordinators use, each has its `share`.

    Requests up to the number that the target has recently run at a time are expected to
    find room. Beyond it only so many are started before the target has accepted them as
    it may still reject.
    """

    __slots__ = (
        "_accepted",
        "_quiet_until",
        "_rejected_at",
        "_settled_at",
        "_share",
        "_stated_at",
        "_unsure",
        "is_stated",
        "per_second",
    )

    def __init__(self, share=1.0):
        self.per_second = math.inf
        self.is_stated = False
        self._share = share
        self._stated_at = float("-inf")
        self._accepted = 0
        self._quiet_until = float("-inf")
        self._settled_at = float("-inf")
        self._rejected_at = deque()
        self._unsure = {}

    def state(self, per_second, started_at, now):
        """Apply what a response stated; return whether that changed the limit.

        `started_at` is when the request of that response was started. A response to a
        request that was started before the limit was last stated may be older than
        that, so it can lower the limit but not raise or lift it.
        """
        if per_second > self.per_second and started_at < self._stated_at:
            return False
        if per_second < math.inf:
            self._stated_at = now
        return self.adopt(per_second, now)

    def adopt(self, per_second, now):
        """Apply a limit as another coordinator had it; return whether it changed."""
        if per_second == self.per_second:
            return False
        self.per_second = per_second
        self.is_stated = per_second < math.inf
        return True

    def take_over(self, now):
        """Expect no more room than running requests will show to be there."""
        self._accepted = 0
        self._settled_at = now + SETTLE_S
        self._quiet_until = self._settled_at + LOST_RUN_S

    def set_share(self, share, now):
        """Use a fraction of the limit from now on."""
        self._share = share

    def allows(self, in_flight, now):
        """Return whether a request may start beside `in_flight` others."""
        if not self.is_stated:
            return True
        if now < self._settled_at:
            return False
        self._drop_old(now)
        allowed = self.per_second * USED_FRACTION * self._share
        rejected = len(self._rejected_at)
        if rejected >= max(math.ceil(allowed), 1):
            return False
        self._accepted = max(self._accepted, in_flight - len(self._unsure))
        if in_flight < self._accepted:
            return True
        if allowed < 1.0 and now < self._quiet_until:
            return False
        return rejected + len(self._unsure) < max(math.floor(allowed), 1)

    def on_start(self, request_id, in_flight, now):
        """Count the start of a request, the last of `in_flight`."""
        if self.is_stated and in_flight > self._accepted:
            self._unsure[request_id] = (now, in_flight - len(self._unsure))

    def on_accepted(self, request_id):
        """Record that a request found room."""
        unsure = self._unsure.pop(request_id, None)
        if unsure is not None:
            self._accepted = max(self._accepted, unsure[1])

    def on_returned(self, request_id):
        """Record that a request was not sent."""
        self._unsure.pop(request_id, None)

    def on_lost(self, request_id, now):
        """Record that a request ended here, while the target may still run it."""
        self._unsure.pop(request_id, None)
        self._accepted = max(self._accepted - 1, 0)
        self._quiet_until = max(self._quiet_until, now + LOST_RUN_S)

    def on_rejected(self, request_id, in_flight, now):
        """Record that a request found no room beside the `in_flight` others."""
        self._unsure.pop(request_id, None)
        if self.is_stated:
            self._rejected_at.append(now)
            self._accepted = max(in_flight - len(self._unsure), 0)

    def _drop_old(self, now):
        while self._rejected_at and now - self._rejected_at[0] >= WINDOW_S:
            self._rejected_at.popleft()
        while self._unsure:
            request_id, (started_at, _) = next(iter(self._unsure.items()))
            if now - started_at < ACCEPTED_AFTER_S:
                break
            self.on_accepted(request_id)
