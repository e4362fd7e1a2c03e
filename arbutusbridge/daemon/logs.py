"""Structured logging: one JSON object per line, written by a thread."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import logbook
import orjson
from logbook.queues import ThreadedWrapperHandler

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Decision

MAX_QUEUED_LINES = 10_000
"""Maximum number of log lines queued for writing; further ones are dropped."""

DEBUG_DECISIONS = frozenset({"scatter", "canary"})
"""Decisions logged at debug level, because the log line of the answer includes
them."""

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "notice": logbook.NOTICE,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


LOGGERS = logbook.LoggerGroup()
"""All loggers. Their common level keeps lines below it from being built."""


def get_logger(name: str) -> logbook.Logger:
    """Returns the logger of a module."""
    logger = logbook.Logger(name)
    LOGGERS.add_logger(logger)
    return logger


def format_line(record: Any, _handler: Any = None) -> str:
    """Formats a log record as one JSON object."""
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": record.message,
    }
    line.update(record.extra)
    if record.exc_info:
        line["traceback"] = record.formatted_exception
    return orjson.dumps(line, default=str).decode()


def start_logging(level: str, stream: Any = None) -> ThreadedWrapperHandler:
    """Starts a thread that writes log lines to a stream.

    Args:
      level: Lowest level that is logged.
      stream: Output stream, standard error by default.

    Returns:
      The handler, which the caller closes.
    """
    LOGGERS.level = LEVELS[level]
    inner = logbook.StreamHandler(stream or sys.stderr, level=LEVELS[level])
    inner.formatter = format_line
    outer = ThreadedWrapperHandler(inner, maxsize=MAX_QUEUED_LINES)
    outer.push_application()
    return outer


def log_decision(logger: logbook.Logger, decision: Decision) -> None:
    """Logs one routing or placement decision, if its level is enabled.

    The log line of an answer lists the choices made for its query. The steps
    that led to them are therefore logged at debug level only.
    """
    level = logbook.INFO
    if decision.what in DEBUG_DECISIONS:
        level = logbook.DEBUG
    if logger.level > level:
        return
    logger.log(
        level,
        decision.what,
        extra={"request_id": decision.request_id, **decision.detail},
    )
