"""Structured logs: short messages, each prefixed with the component's name."""

import logging
import sys
import time

import structlog

__all__ = ["component_logger", "set_up_logs"]

_COMPONENTS = (
    "callers",
    "config",
    "ledger",
    "members",
    "moves",
    "node",
    "operators",
    "peers",
    "platform",
    "pool",
    "standin",
    "targets",
)


# Rate and burst of lines with the same message that a process may write.
MAX_LINES_PER_S = 60.0
MAX_BURST_LINES = 300.0
# Minimum time between two reports of the number of dropped lines.
MIN_DROP_REPORT_INTERVAL_S = 5.0


class _RateLimiter:
    """A structlog processor that limits each message by a token bucket.

    It counts the dropped lines by message and adds the counts to a later line, as
    `dropped_lines`.
    """

    __slots__ = ("_buckets", "_clock", "_dropped", "_reported_at")

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._buckets = {}
        self._dropped = {}
        self._reported_at = clock()

    def __call__(self, logger, method, event):
        """Return the line's event, or raise `DropEvent` above the limit."""
        now = self._clock()
        message = event.get("event", "")
        tokens, filled_at = self._buckets.get(message, (MAX_BURST_LINES, now))
        tokens = min(tokens + (now - filled_at) * MAX_LINES_PER_S, MAX_BURST_LINES)
        if tokens < 1.0:
            self._buckets[message] = (tokens, now)
            self._dropped[message] = self._dropped.get(message, 0) + 1
            raise structlog.DropEvent
        self._buckets[message] = (tokens - 1.0, now)
        if self._dropped and now - self._reported_at >= MIN_DROP_REPORT_INTERVAL_S:
            event["dropped_lines"] = self._dropped
            self._dropped = {}
            self._reported_at = now
        return event


def set_up_logs(level="info", log_format="json", stream=None):
    """Configure structlog for the process; `stream` defaults to standard error."""
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            _RateLimiter(),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


class _ComponentLogger:
    """A logger that prefixes each message with the name of its component."""

    __slots__ = ("_log", "_prefix")

    def __init__(self, component):
        self._prefix = f"{component}: "
        self._log = structlog.get_logger()

    def debug(self, text, **fields):
        """Log at debug level."""
        self._log.debug(self._prefix + text, **fields)

    def info(self, text, **fields):
        """Log at info level."""
        self._log.info(self._prefix + text, **fields)

    def warning(self, text, **fields):
        """Log at warning level."""
        self._log.warning(self._prefix + text, **fields)

    def error(self, text, **fields):
        """Log at error level."""
        self._log.error(self._prefix + text, **fields)


def component_logger(component):
    """Return the logger of a component; raise ValueError for an unknown name."""
    if component not in _COMPONENTS:
        raise ValueError(f"unknown component {component!r}")
    return _ComponentLogger(component)
