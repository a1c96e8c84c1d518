"""Structured logs: key=value on a terminal, JSON otherwise."""

import sys
import time
from typing import Any

import structlog


def set_up(level: str) -> structlog.typing.FilteringBoundLogger:
    """Configure the logger of this process, which writes to standard error."""
    renderer: Any = (
        structlog.dev.ConsoleRenderer()
        if sys.stderr.isatty()
        else structlog.processors.JSONRenderer(sort_keys=True)
    )
    structlog.configure(
        processors=[structlog.processors.add_log_level, _add_time, renderer],
        wrapper_class=structlog.make_filtering_bound_logger({"debug": 10, "info": 20, "warning": 30}[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger()
    return logger


def _add_time(_: Any, __: str, event: Any) -> Any:
    """Add the wall-clock time, for people who read the log. No decision depends on it."""
    event["at"] = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime())
    return event
