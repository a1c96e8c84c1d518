"""Structured logs: key=value on a terminal, JSON elsewhere."""

import sys
import time
from typing import Any

import structlog


def set_up(level: str) -> structlog.typing.FilteringBoundLogger:
    """The log of this process, on standard error."""
    shape: Any = (
        structlog.dev.ConsoleRenderer()
        if sys.stderr.isatty()
        else structlog.processors.JSONRenderer(sort_keys=True)
    )
    structlog.configure(
        processors=[structlog.processors.add_log_level, _stamp, shape],
        wrapper_class=structlog.make_filtering_bound_logger({"debug": 10, "info": 20, "warning": 30}[level]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    made: structlog.typing.FilteringBoundLogger = structlog.get_logger()
    return made


def _stamp(_: Any, __: str, event: Any) -> Any:
    """When, by the wall clock: for people who read logs; nothing is decided by it."""
    event["at"] = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime())
    return event
