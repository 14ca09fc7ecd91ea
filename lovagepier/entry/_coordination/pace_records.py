"""Log lines and gauges of the paces of targets that start or recover."""

from lovagepier.logs import component_logger

__all__ = ["log_paces", "pace_gauges"]

_log = component_logger("pool")


def log_paces(service, paces, is_coordinator):
    """Log the paces of one service that began or ended since the last call.

    Hosts that don't coordinate have paces, too, in case they must take over; these
    decide nothing and are not logged.
    """
    for event in paces.take_events():
        if is_coordinator:
            _log.info(
                f"pace {event.what}",
                target=event.target,
                service=service,
                cause=event.cause,
                bound=round(event.bound, 2),
                seconds=event.seconds,
            )


def pace_gauges(schedulers):
    """Return gauges by name, summed over the schedulers of all services."""
    paces = [scheduler.paces for scheduler in schedulers]
    young = [each.young for each in paces]
    return {
        "paced_targets": sum(map(len, paces)),
        "young_target_lost_total": sum(each.lost for each in young),
        "young_target_late_total": sum(each.late for each in young),
        "young_target_share_seconds_sum": round(
            sum(each.share_seconds for each in young), 3
        ),
        "young_target_share_seconds_count": sum(each.shares for each in young),
    }
