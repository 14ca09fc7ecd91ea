"""What is known of a call, for the message of a test that fails."""

import contextlib

import structlog
from structlog.testing import capture_logs

__all__ = ["account_of", "kept_logs"]


@contextlib.contextmanager
def kept_logs():
    """Yield the list of the log lines that are written meanwhile, with their times."""
    stamp = structlog.processors.TimeStamper(fmt="%H:%M:%S.%f", utc=True)
    with capture_logs(processors=[stamp]) as rows:
        yield rows


def account_of(request_id, seen, asked, rows):
    """Return what a caller has `Seen`, the targets' requests and the logs of a call.

    Lines that name no request are among the logs: they may tell of a stalled host.
    """
    lines = [
        f"{seen.status}, complete: {seen.is_complete}, ended by {seen.ended_by}",
        f"headers: {seen.headers}",
        f"body: {seen.body[:400]!r}, behind it: {seen.extra[:100]!r}",
        f"Last-Event-Ids of the targets' requests: {asked}",
    ]
    lines += [str(row) for row in rows if row.get("request", request_id) == request_id]
    return "\n".join(lines)
