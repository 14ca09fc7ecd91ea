"""Passes the messages of entry hosts to the coordinator of the host that gets them."""

from lovagepier.entry._cluster.messages import (
    DispatchRequest,
    DispatchResult,
    FirstEvent,
    LimitStated,
    RunningReport,
    TargetDown,
    Withdraw,
)

__all__ = ["HostMessages"]


class HostMessages:
    """Handles what entry hosts send to this host's `coordinator`.

    `followers` and `statements` learn from the report of a host that has joined.
    """

    __slots__ = ("_coordinator", "_followers", "_statements")

    def __init__(self, coordinator, followers, statements):
        self._coordinator = coordinator
        self._followers = followers
        self._statements = statements

    def handle(self, entry, message, now):
        """Handle a message of an entry host; one of another type is ignored."""
        coordinator = self._coordinator
        crash_reports = coordinator.crash_reports
        verdicts = coordinator.poison_detector.verdicts
        self._handle(entry, message, now)
        if coordinator.crash_reports != crash_reports:
            # This host may be lost next, and the evidence with it.
            is_proved = coordinator.poison_detector.verdicts != verdicts
            self._followers.push_rosters_soon(at_once=is_proved)

    def _handle(self, entry, message, now):
        coordinator = self._coordinator
        if isinstance(message, DispatchRequest):
            coordinator.on_dispatch_request(entry, message, now)
        elif isinstance(message, FirstEvent):
            coordinator.on_first_event(entry, message, now)
        elif isinstance(message, DispatchResult):
            coordinator.on_result(entry, message, now)
        elif isinstance(message, TargetDown):
            coordinator.on_target_down(message, now)
        elif isinstance(message, LimitStated):
            coordinator.on_limit_stated(entry, message, now)
        elif isinstance(message, Withdraw):
            coordinator.on_withdraw(entry, message.id, now)
        elif isinstance(message, RunningReport):
            self._on_running_report(entry, message.with_requests(), now)

    def _on_running_report(self, entry, report, now):
        self._followers.on_joined(entry)
        self._statements.mark_leaving(report.leaving)
        self._coordinator.on_running_report(entry, report, now)
