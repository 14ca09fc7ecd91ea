"""How far the handling of one call has come."""

from lovagepier.entry._callers.exclusions import Exclusions

__all__ = ["RESPONSE_MARGIN_S", "CallProgress"]

# Targets that one request may be sent to, including those that do not execute it.
MAX_ATTEMPTS = 5
# Timeout if the caller sets none; the route's own timeout may be shorter.
DEFAULT_TIMEOUT_S = 120.0
# A response sent this long before the deadline still reaches the caller in time.
RESPONSE_MARGIN_S = 0.015


class CallProgress:
    """What all parts of the handling of one call know of it.

    `deadline` is in loop seconds. `attempts` counts the targets that the call was sent
    to; `executions` leaves out those that stated not to have executed it.
    `maybe_executed` tells whether any may have, `response_started` whether any part of
    a response was sent to the caller. `events` counts the events of the last target's
    stream, `progress_at` is when the last one was complete. `can_resume` tells whether
    another target can be asked to go on after it.
    """

    __slots__ = (
        "attempts",
        "call",
        "can_resume",
        "deadline",
        "events",
        "excluded",
        "executions",
        "maybe_executed",
        "progress_at",
        "response_started",
        "route",
    )

    def __init__(self, call):
        self.call = call
        self.route = call.route
        timeout_s = call.timeout_s if call.timeout_s is not None else DEFAULT_TIMEOUT_S
        if self.route.timeout_s:
            timeout_s = min(timeout_s, self.route.timeout_s)
        self.deadline = call.arrived_at + timeout_s
        self.attempts = 0
        self.events = 0
        self.executions = 0
        self.can_resume = True
        self.excluded = Exclusions()
        self.maybe_executed = False
        self.progress_at = 0.0
        self.response_started = False

    @property
    def may_execute_again(self):
        """Whether the route allows another target to execute the call."""
        return self.executions < self.route.max_attempts

    @property
    def may_resume(self):
        """Whether another target may go on with a stream that has begun."""
        return self.route.resumable and self.can_resume and self.may_execute_again

    def may_retry(self, not_executed):
        """Return whether the call may be sent to another target.

        `not_executed` means that the last one stated not to have executed it.
        """
        if self.attempts >= MAX_ATTEMPTS:
            return False
        if not_executed and not self.response_started:
            return True
        if self.response_started:
            return self.may_resume
        return self.route.retryable and self.may_execute_again

    def patience_left(self, now):
        """Return the seconds until the caller abandons the call; 0 for no such limit.

        A limit that has passed counts as a moment: the caller is still there.
        """
        if not self.route.patience_s:
            return 0.0
        since = self.progress_at if self.response_started else self.call.arrived_at
        return max(since + self.route.patience_s - now, RESPONSE_MARGIN_S)
