"""Which targets have reported the ids they were given before a coordinator started."""

__all__ = ["KnownIds"]


class KnownIds:
    """The targets whose answer is due, and the messages that wait for it.

    `awaiting` are the targets that were asked and have not answered, `silent` those
    that did not report their ids. Both are sets of names.
    """

    __slots__ = ("_deferred", "awaiting", "silent")

    def __init__(self):
        self.awaiting = set()
        self.silent = set()
        self._deferred = []

    def defer(self, message):
        """Keep a message until all targets have answered."""
        self._deferred.append(message)

    def take_deferred(self):
        """Remove and return the deferred messages in their order."""
        deferred, self._deferred = self._deferred, []
        return deferred

    def on_answer(self, target, ids):
        """Record a target's answer; `ids` is None if it reported none."""
        if ids is None:
            self.silent.add(target)
        else:
            self.silent.discard(target)
        self.awaiting.discard(target)

    def stop_awaiting(self):
        """Count the targets that have not answered as silent."""
        self.silent |= self.awaiting
        self.awaiting.clear()
