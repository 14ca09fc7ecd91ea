"""Announces sheds of a pool to the pools of the same subject in other regions."""

from lovagepier.peers import messages

__all__ = ["PauseAnnouncer"]

MIN_PAUSE_INTERVAL_S = 0.1


class PauseAnnouncer:
    """Tells the coordinators of other regions' pools to pause lower tiers."""

    __slots__ = ("_announced_shed", "_last_pause_at", "_node", "_region", "_subject")

    def __init__(self, node, subject, region):
        self._node = node
        self._subject = subject
        self._region = region
        self._announced_shed = None
        self._last_pause_at = float("-inf")

    def announce(self, shed, now):
        """Announce a pool's last shed if it is new and the last one is long ago.

        The least time between two is `MIN_PAUSE_INTERVAL_S`.
        """
        if (
            shed == self._announced_shed
            or now - self._last_pause_at < MIN_PAUSE_INTERVAL_S
        ):
            return
        self._announced_shed = shed
        self._last_pause_at = now
        roster = self._node.roster
        for subject, region in self._node.view.pools():
            if subject == self._subject and region != self._region:
                coordinator = roster.owner(f"pool/{subject}/{region}", region)
                if coordinator is not None:
                    self._node.tell(
                        coordinator, messages.PoolPause(subject, region, shed[0])
                    )
