"""What happened to requests at targets that had just started or come back."""

__all__ = ["YoungTargets"]

# Requests granted in this time after a target's start count.
YOUNG_S = 10.0
# A target carries its share if it gets at least this part of what the others get on the
# average in `WINDOW_S`. It is below 1 because slow machines get less than fast ones.
SHARE_FRACTION = 0.5
WINDOW_S = 1.0
# Targets that don't carry their share by then, such as the slowest, are not waited for.
MAX_SHARE_S = 60.0
_LOST_STATUSES = frozenset(("vanished", "died", "failed", "unreachable"))


class _Share:
    """Starts of a window at one target, and at all targets that carry their share."""

    __slots__ = ("began_at", "others", "own", "window_at")

    def __init__(self, began_at):
        self.began_at = self.window_at = began_at
        self.own = self.others = 0


class YoungTargets:
    """Counts of one pool: requests lost and late at young targets, and their shares.

    They are kept with and without a pace, for comparison. `shares` counts the targets
    that came to carry their share, `share_seconds` is the sum of the times that they
    needed.
    """

    __slots__ = ("_began_at", "_shares", "late", "lost", "share_seconds", "shares")

    def __init__(self):
        self._began_at = {}
        self._shares = {}
        self.lost = 0
        self.late = 0
        self.shares = 0
        self.share_seconds = 0.0

    def begin(self, name, began_at):
        """Count the requests of a target from `began_at` on."""
        self._began_at[name] = began_at
        self._shares[name] = _Share(began_at)

    def drop(self, name):
        """Drop a target that is gone."""
        self._began_at.pop(name, None)
        self._shares.pop(name, None)

    def on_start(self, name, target_count, now):
        """Count the start of a request at one of the pool's targets."""
        for young, share in list(self._shares.items()):
            if now - share.window_at >= WINDOW_S:
                self._end_window(young, share, target_count, now)
            if name == young:
                share.own += 1
            elif name not in self._shares:
                share.others += 1

    def _end_window(self, name, share, target_count, now):
        others = max(target_count - len(self._shares), 1)
        if share.own and share.own >= SHARE_FRACTION * share.others / others:
            self.shares += 1
            self.share_seconds += max(now - share.began_at, 0.0)
            del self._shares[name]
        elif now - share.began_at >= MAX_SHARE_S:
            del self._shares[name]
        share.window_at = now
        share.own = share.others = 0

    def on_outcome(self, running, outcome, now):
        """Count the outcome of a request that was `running` at a target."""
        began_at = self._began_at.get(running.target)
        if began_at is None or running.granted_at < began_at:
            return
        if running.granted_at - began_at >= YOUNG_S:
            del self._began_at[running.target]
            return
        if outcome.status in _LOST_STATUSES:
            self.lost += 1
        elif outcome.status == "late" or _is_late(running, outcome, now):
            self.late += 1


def _is_late(running, outcome, now):
    soft_deadline = running.work.soft_deadline
    if not soft_deadline or outcome.status != "ok":
        return False
    return (running.first_byte_at or now) > soft_deadline
