"""Log errors of circuits' handlers without what the failed event carried."""

from __future__ import annotations

from types import TracebackType
from typing import Any

from circuits import Component
from circuits import handler as handles
from loguru import logger


class ErrorLogger(Component):
    """Take the place of circuits' own handler, which prints an event with all its arguments."""

    channel = "*"

    @handles("exception", channel="*")
    def _on_exception(
        self,
        error_type: type[BaseException],
        value: BaseException,
        traceback: TracebackType,
        handler: Any = None,
        fevent: Any = None,
    ) -> None:
        name = getattr(fevent, "name", "unknown")
        fault = value if isinstance(value, BaseException) else error_type()
        logger.opt(exception=fault).error("event=event_handler_failed failed={}", name)
