"""Structured logs: short sentences with a fixed prefix for each part."""

import logging
import sys
import time

import structlog

__all__ = ["component_logger", "set_up_logs"]

_PARTS = (
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


# Lines of one kind that a process may write a second, and at once after a calm.
LINES_PER_S = 60.0
LINES_AT_ONCE = 300.0
# How often it is told how many lines were left out.
DROPPED_TOLD_S = 5.0


class _Sampler:
    """A processor that bounds each kind of line and counts what it drops."""

    __slots__ = ("_buckets", "_clock", "_dropped", "_told_at")

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._buckets = {}
        self._dropped = {}
        self._told_at = clock()

    def __call__(self, logger, method, event):
        """Pass a line on, or drop it and count it."""
        now = self._clock()
        kind = event.get("event", "")
        level, at = self._buckets.get(kind, (LINES_AT_ONCE, now))
        level = min(level + (now - at) * LINES_PER_S, LINES_AT_ONCE)
        if level < 1.0:
            self._buckets[kind] = (level, now)
            self._dropped[kind] = self._dropped.get(kind, 0) + 1
            raise structlog.DropEvent
        self._buckets[kind] = (level - 1.0, now)
        if self._dropped and now - self._told_at >= DROPPED_TOLD_S:
            event["dropped_lines"] = self._dropped
            self._dropped = {}
            self._told_at = now
        return event


def set_up_logs(level="info", form="json", stream=None):
    """Configure structlog once a process."""
    last = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            _Sampler(),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


class _PartLog:
    """A logger that puts its part's prefix before each sentence."""

    __slots__ = ("_log", "_prefix")

    def __init__(self, part):
        self._prefix = f"{part}: "
        self._log = structlog.get_logger()

    def debug(self, sentence, **fields):
        """Log at debug level."""
        self._log.debug(self._prefix + sentence, **fields)

    def info(self, sentence, **fields):
        """Log at info level."""
        self._log.info(self._prefix + sentence, **fields)

    def warning(self, sentence, **fields):
        """Log at warning level."""
        self._log.warning(self._prefix + sentence, **fields)

    def error(self, sentence, **fields):
        """Log at error level."""
        self._log.error(self._prefix + sentence, **fields)


def component_logger(part):
    """Return the logger of a part; the parts are a fixed list."""
    if part not in _PARTS:
        raise ValueError(f"no part is named {part!r}")
    return _PartLog(part)
