"""Log exceptions of circuits' event handlers without the arguments of the event."""

from __future__ import annotations

from types import TracebackType
from typing import Any

from circuits import Component
from circuits import handler as handles
from loguru import logger


class ErrorLogger(Component):
    """Replace circuits' default handler, which prints the failed event with all its arguments."""

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
        error = value if isinstance(value, BaseException) else error_type()
        logger.opt(exception=error).error("event=event_handler_failed failed={}", name)
