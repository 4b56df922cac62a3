"""Configure logging: one line of key=value pairs for each event, with secrets redacted."""

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
"""Maximum length of a logged value, in characters."""
MAX_FRAMES = 8
"""Maximum number of innermost stack frames logged with an error."""
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
"""Keys whose values are replaced by `REDACTED`."""

_PAIR = re.compile(r'(?:^|(?<=\s))([a-z][a-z0-9_.]*)=("(?:[^"\\]|\\.)*"(?=\s|$))?')
_BEARER = re.compile(r"(?i)\b(bearer|basic)\s+[^\s\"',;]+")
_PLAIN = re.compile(r"[^\s\"=\\\x00-\x1f\x7f]+")


def quote_value(value: object) -> str:
    """Return a value as truncated, quoted JSON text; use it for untrusted values."""
    return json.dumps(str(value)[:MAX_VALUE_CHARS])


def redact_line(message: str) -> str:
    """Return a log message as one line of key=value pairs, with secrets redacted.

    Values that contain other than plain characters are quoted. A message that does not start with a
    key is logged whole under ``text``.
    """
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
    """Return an exception's class, message and stack as key=value pairs.

    Only messages of `OSError` and of this package's own exceptions are included; others may contain
    text sent by a caller.
    """
    parts = [f"error={type(exc).__name__}"]
    if isinstance(exc, OSError) or type(exc).__module__.startswith("tarragonwind."):
        parts.append(f"reason={quote_value(exc)}")
    frames = traceback.extract_tb(exc.__traceback__)[-MAX_FRAMES:]
    stack = " < ".join(f"{frame.filename.rsplit('/', 1)[-1]}:{frame.lineno}" for frame in frames)
    parts.append(f"stack={quote_value(stack)}")
    return " ".join(parts)


def _format_timed(record: Record) -> str:
    record["extra"]["line"] = _render_line(record)
    return "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} {extra[line]}\n"


def _format_bare(record: Record) -> str:
    record["extra"]["line"] = _render_line(record)
    return "{extra[line]}\n"


def _render_line(record: Record) -> str:
    line = redact_line(record["message"]) + f" host={record['extra'].get('host', '-')}"
    exception = record["exception"]
    if exception is not None and exception.value is not None:
        line += " " + redact_line(describe_exception(exception.value))
    return line


class InterceptHandler(logging.Handler):
    """Forward records of the standard `logging` module to loguru, each as one event."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward one record, without its stack trace."""
        text = quote_value(record.getMessage())
        name = quote_value(record.name)
        logger.log(_level_name(record.levelno), "event=library_log logger={} text={}", name, text)


def _level_name(level: int) -> str:
    if level >= logging.ERROR:
        return "ERROR"
    return "WARNING" if level >= logging.WARNING else "INFO"


def configure_logs(cfg: LogSettings, host: str, sink: TextIO | None = None) -> BoundedSink | None:
    """Route loguru and the standard `logging` module to one sink.

    Parameters
    ----------
    cfg : LogSettings
        Level and format.
    host : str
        Name of this host, added to each line.
    sink : file, optional
        Target of the log; standard output, written without blocking, by default.

    Returns
    -------
    BoundedSink or None
        The non-blocking sink on standard output, to be flushed periodically; None if `sink` is
        given.
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
