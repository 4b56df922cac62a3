"""Set up the logs: one line of key=value pairs an event, without secrets or request content."""

from __future__ import annotations

import json
import logging
import re
import sys
import traceback
from collections.abc import Callable
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from tarragonwind.log_sinks import BoundedSink
from tarragonwind.settings import LogFormat, LogSettings

if TYPE_CHECKING:
    from loguru import Message, Record

MAX_VALUE_CHARS = 500
"""Longest value in a line, in characters."""
MAX_FRAMES = 8
"""Innermost stack frames that are logged with an error."""
REDACTED = "***"

SECRET_KEYS = frozenset(
    {
        "api_key",
        "authorization",
        "body",
        "content",
        "cookie",
        "idempotency_key",
        "messages",
        "password",
        "payload",
        "prompt",
        "secret",
        "token",
    }
)
"""Keys whose values never reach a line."""

_PAIR = re.compile(r'(?:^|(?<=\s))([a-z][a-z0-9_.]*)=("(?:[^"\\]|\\.)*"(?=\s|$))?')
_BEARER = re.compile(r"(?i)\b(bearer|basic)\s+[^\s\"',;]+")
_PLAIN = re.compile(r"[^\s\"=\\\x00-\x1f\x7f]+")


def quote_value(value: object) -> str:
    """Return a value as quoted text, for values that come from outside the project."""
    return json.dumps(str(value)[:MAX_VALUE_CHARS])


def redact_line(message: str) -> str:
    """Return one line of key=value pairs with secrets struck out and values quoted as needed."""
    matches = list(_PAIR.finditer(message))
    if not matches or message[: matches[0].start()].strip():
        return f"event=message text={_format_value('text', message)}"
    pairs = []
    for index, match in enumerate(matches):
        end = matches[index + 1].start() if index + 1 < len(matches) else len(message)
        value = message[match.end(1) + 1 : end].strip()
        pairs.append(f"{match[1]}={_format_value(match[1], value)}")
    return " ".join(pairs)


def _format_value(key: str, value: str) -> str:
    if key in SECRET_KEYS:
        return REDACTED
    if len(value) >= 2 and value[0] == value[-1] == '"':
        value = _unquote(value)
    if len(value) <= MAX_VALUE_CHARS and _PLAIN.fullmatch(value):
        return value
    return json.dumps(_BEARER.sub(rf"\1 {REDACTED}", value)[:MAX_VALUE_CHARS])


def _unquote(value: str) -> str:
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def describe_exception(exc: BaseException) -> str:
    """Return an error's class, its message where that is known to be safe, and its stack.

    Messages of foreign errors are left out, since they may repeat what a caller sent.
    """
    parts = [f"error={type(exc).__name__}"]
    if isinstance(exc, OSError) or type(exc).__module__.startswith("tarragonwind."):
        parts.append(f"reason={quote_value(exc)}")
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    stack = " < ".join(f"{frame.filename.rsplit('/', 1)[-1]}:{frame.lineno}" for frame in frames)
    parts.append(f"stack={quote_value(stack)}")
    return " ".join(parts)


def _format_timed(record: Record) -> str:
    record["extra"]["line"] = _render(record)
    return "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} {extra[line]}\n"


def _format_bare(record: Record) -> str:
    record["extra"]["line"] = _render(record)
    return "{extra[line]}\n"


def _render(record: Record) -> str:
    line = redact_line(record["message"]) + f" host={record['extra'].get('host', '-')}"
    exception = record["exception"]
    if exception is not None and exception.value is not None:
        line += " " + redact_line(describe_exception(exception.value))
    return line


class InterceptHandler(logging.Handler):
    """Pass what libraries log on to the project's log, as one event a record."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record without its stack."""
        text = quote_value(record.getMessage())
        name = quote_value(record.name)
        logger.log(_level_name(record.levelno), "event=library_log logger={} text={}", name, text)


def _level_name(level: int) -> str:
    if level >= logging.ERROR:
        return "ERROR"
    return "WARNING" if level >= logging.WARNING else "INFO"


def configure_logs(cfg: LogSettings, host: str, sink: TextIO | None = None) -> BoundedSink | None:
    """Send the log to one place, and what libraries log with it.

    Parameters
    ----------
    cfg : LogSettings
        Level and format.
    host : str
        Name of this host, which each line carries.
    sink : file, optional
        Standard output by default, which is never waited for.

    Returns
    -------
    BoundedSink or None
        The sink on standard output; flush it now and then.
    """
    line_format = _format_timed if cfg.format is LogFormat.TIMED else _format_bare
    bounded = None
    target: TextIO | Callable[[Message], None]
    if sink is None:
        bounded = BoundedSink(sys.stdout.fileno())
        target = bounded.write
    else:
        target = sink
    logger.remove()
    logger.configure(extra={"host": host})
    logger.add(
        target,
        level=cfg.level.value.upper(),
        format=line_format,
        backtrace=False,
        diagnose=False,
        colorize=False,
        catch=True,
    )
    logging.basicConfig(handlers=[InterceptHandler()], level=logging.WARNING, force=True)
    return bounded
