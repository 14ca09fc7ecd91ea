"""How long targets that refuse connections get no requests."""

__all__ = ["TargetBackoffs"]

# A target that refuses connections is retried after twice this time, which doubles
# with each failure.
DOWN_BACKOFF_BASE_S = 0.4
MAX_DOWN_BACKOFF_S = 3.0


class TargetBackoffs:
    """The exponential backoffs of the targets of one service."""

    __slots__ = ("_backoff_s", "_until")

    def __init__(self):
        self._until = {}
        self._backoff_s = {}

    def start(self, target, now):
        """Pause a target, longer with each failure."""
        pause = min(
            self._backoff_s.get(target, DOWN_BACKOFF_BASE_S) * 2, MAX_DOWN_BACKOFF_S
        )
        self._backoff_s[target] = pause
        self._until[target] = now + pause

    def end_pause(self, target):
        """End a target's pause; its next one is still longer."""
        self._until.pop(target, None)

    def reset(self, target):
        """Let the next pause of a target be the shortest."""
        self._backoff_s.pop(target, None)

    def take_due(self, now):
        """Remove and return the targets whose pause has passed."""
        due = [name for name, until in self._until.items() if now >= until]
        for name in due:
            del self._until[name]
        return due
