"""Targets that want a pause from single entry hosts."""

__all__ = ["Pauses"]

# After a pause a host's requests at a target are limited to one at a time. Each one
# that succeeds doubles that, up to this number, which ends the limit.
MAX_LIMITED = 8


class _Pause:
    """`limit` is how many requests may run at a time once the pause is over."""

    __slots__ = ("incarnation", "limit", "until")

    def __init__(self, incarnation, until):
        self.incarnation = incarnation
        self.until = until
        self.limit = 1


class Pauses:
    """Pauses of targets by entry host and target; times are in seconds.

    A pause binds one host and one incarnation of a target. A longer one extends it, a
    shorter one does not cut it short.
    """

    __slots__ = ("_by_host",)

    def __init__(self):
        self._by_host = {}

    def pause(self, host, target, incarnation, until):
        """Record a pause that a target requested from a host; return whether it is new.

        It isn't if a pause that lasts as long is known.
        """
        pauses = self._by_host.setdefault(host, {})
        known = pauses.get(target)
        if known is not None and known.incarnation == incarnation:
            if until <= known.until:
                return False
            known.until = until
            known.limit = 1
        else:
            pauses[target] = _Pause(incarnation, until)
        return True

    def is_paused(self, host, target, incarnation, now):
        """Return whether a host must not send to a target."""
        pause = self._by_host.get(host, {}).get(target)
        if pause is None or pause.incarnation != incarnation:
            return False
        return now < pause.until

    def avoided(self, host, fleet, now):
        """Return the names of targets that must not get another request of a host."""
        pauses = self._by_host.get(host)
        if not pauses:
            return frozenset()
        avoided = set()
        for target, pause in pauses.items():
            state = fleet.get(target)
            if state is None or state.incarnation != pause.incarnation:
                continue
            if now < pause.until or _running_of(host, state) >= pause.limit:
                avoided.add(target)
        return frozenset(avoided)

    def on_success(self, host, target, now):
        """Record that a request of a host succeeded at a target."""
        pause = self._by_host.get(host, {}).get(target)
        if pause is None or now < pause.until:
            return
        pause.limit *= 2
        if pause.limit > MAX_LIMITED:
            del self._by_host[host][target]

    def rows(self, host, now):
        """Return [target, incarnation, seconds left] rows of a host's pauses."""
        return [
            [target, pause.incarnation, pause.until - now]
            for target, pause in self._by_host.get(host, {}).items()
            if now < pause.until
        ]

    def merge_rows(self, host, rows, now):
        """Merge the `rows` of a host."""
        for target, incarnation, seconds in rows:
            self.pause(host, target, incarnation, now + seconds)

    def drop(self, target):
        """Drop the pauses of a target that is gone."""
        for pauses in self._by_host.values():
            pauses.pop(target, None)


def _running_of(host, state):
    return sum(work_id.startswith(f"{host}/") for work_id in state.running)
