"""Whether a call may still use a grant, by what this host knows of the target itself.

The coordinator's view may be older, or of another build.
"""

__all__ = ["GrantCheck"]


class GrantCheck:
    """Checks grants before a connection and right before the call is sent.

    Targets that can't be used are excluded from the call's further grants. `frontend`
    gives access to what all calls share, `progress` is the call's `CallProgress`.
    """

    __slots__ = ("_frontend", "_progress")

    def __init__(self, frontend, progress):
        self._frontend = frontend
        self._progress = progress

    def may_connect(self, grant, target):
        """Return whether to connect to a grant's target, None if it is not known."""
        excluded = self._progress.excluded
        if target is None or target.incarnation != grant.incarnation:
            excluded.add_mismatched(grant.target)
            return False
        if target.draining:
            excluded.add(grant.target)
            return False
        if self._is_evacuated(target):
            return False
        if not self._frontend.residence.accepts(self._progress, target):
            return False
        return not self._is_paused(target)

    def may_send(self, grant, target, age_s, now):
        """Return whether to send the call, now that there is a connection.

        `age_s` is how long ago the grant came.
        """
        if self._is_evacuated(target) or self._is_paused(target):
            return False
        cold_targets = self._frontend.coordinator.cold_targets
        if cold_targets.may_send(target, grant.paced, age_s, now):
            return True
        self._frontend.metrics.count("cold_grants_returned")
        if not grant.paced:
            # The coordinator does not know yet that the target is cold.
            self._progress.excluded.add_mismatched(target.id)
        return False

    def _is_evacuated(self, target):
        if not self._frontend.view.evacuations.holds(target):
            return False
        # The coordinator's view of the store is late by a moment.
        self._frontend.metrics.count("evacuated_grants_returned")
        self._progress.excluded.add_mismatched(target.id)
        return True

    def _is_paused(self, target):
        statements = self._frontend.cluster.statements
        if not statements.is_paused(target):
            return False
        self._progress.excluded.add(target.id)
        statements.repeat_pause(target)
        return True
