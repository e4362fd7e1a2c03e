"""Structured log lines, one JSON object each, written off the loop."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import logbook
import orjson
from logbook.queues import ThreadedWrapperHandler

if TYPE_CHECKING:
    from arbutusbridge.core.messages import Decision

MAX_QUEUED_LINES = 10_000
"""Lines waiting to be written at most; more are dropped."""

DEBUG_DECISIONS = frozenset({"scatter", "canary"})
"""Decisions that the line of the answer covers."""

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "notice": logbook.NOTICE,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


LOGGERS = logbook.LoggerGroup()
"""All loggers, so that lines below the level are never built."""


def get_logger(name: str) -> logbook.Logger:
    """Returns the logger of a module."""
    logger = logbook.Logger(name)
    LOGGERS.add_logger(logger)
    return logger


def format_line(record: Any, _handler: Any = None) -> str:
    """Writes a log record as one JSON object."""
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
    """Sends all log lines of a level to a stream by a thread of its own."""
    LOGGERS.level = LEVELS[level]
    inner = logbook.StreamHandler(stream or sys.stderr, level=LEVELS[level])
    inner.formatter = format_line
    outer = ThreadedWrapperHandler(inner, maxsize=MAX_QUEUED_LINES)
    outer.push_application()
    return outer


def log_decision(logger: logbook.Logger, decision: Decision) -> None:
    """Writes one routing or placement decision, if the level wants it.

    A query's answer lists its choices; steps on the way to it are detail.
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
