"""Structured logs: short sentences with a fixed prefix for each part."""

import logging
import sys

import structlog

__all__ = ["part_log", "set_up_logs"]

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


def set_up_logs(level="info", form="json", stream=None):
    """Configure structlog once a process."""
    last = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
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


def part_log(part):
    """Return the logger of a part; the parts are a fixed list."""
    if part not in _PARTS:
        raise ValueError(f"no part is named {part!r}")
    return _PartLog(part)
