"""The parts of all targets and quotas that a home gives out."""

__all__ = ["CapacityShares"]

# Part of the live hosts from which on a home uses all targets: fewer mean that
# another home may be using them as well.
WHOLE_PART = 0.6
# A host whose registration lapsed counts so long as one that serves by itself: a
# longer cut than most; a host that was killed is back before that.
PARTED_S = 20.0
# Hosts that share the targets at the least while registrations still come in.
SETTLE_HOSTS = 8


class CapacityShares:
    """Counts the hosts that may be giving out the rest.

    Homes that are cut off from each other then give out no more than the
    whole together.
    """

    def __init__(self, view):
        self._view = view
        self._seen_at = {}

    def parts(self, served, first, now):
        """Return (part of the targets, part of the quotas).

        `served` hosts ask this home; `first` tells that it has just started
        and may not know all others yet.
        """
        members = self._view.members()
        lately = self._lately(members, now)
        if not served:
            return 1.0, 1.0
        least = SETTLE_HOSTS if first else 1
        part = served / max(len(members), least)
        quota_part = served / max(lately, least)
        if part >= WHOLE_PART:
            part = 1.0
        return part, min(quota_part, 1.0)

    def _lately(self, members, now):
        for name in members:
            self._seen_at[name] = now
        for name, at in list(self._seen_at.items()):
            if now - at >= PARTED_S:
                del self._seen_at[name]
        return len(self._seen_at)
