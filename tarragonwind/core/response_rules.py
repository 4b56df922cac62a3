"""Decide whether the head of a response is one of HTTP/1.1 (RFC 9112 and RFC 9110).

The parser refuses most of what is no response by itself. The rules here refuse what it lets
through; docs/design/http.md lists both, part by part.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from tarragonwind.records import dataclass

PROTOCOLS = (b"HTTP/1.1 ", b"HTTP/1.0 ")
"""Beginnings of the status line."""
FIRST_STATUS, LAST_STATUS = 100, 599
CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Bytes that a reason must not hold; a tab may stand in it."""
CHUNKED = b"chunked"
MAX_SHOWN_BYTES = 60
"""Maximum number of bytes of a malformed line in an error."""


class MalformedResponse(ValueError):
    """Signal bytes that are no response; the message tells what was expected and what came."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Hold the head of a final or an interim response.

    Attributes
    ----------
    status_line : bytes
        First line, without its line end.
    status : int
        Status code as the parser has read it.
    headers : list of (bytes, bytes)
        Header fields.
    """

    status_line: bytes
    status: int
    headers: list[tuple[bytes, bytes]]


HeadRule = Callable[[ResponseHead], str]
"""Returns what a head should hold and what it holds, empty if it keeps the rule."""
HEAD_RULES: list[HeadRule] = []


def head_rule(rule: HeadRule) -> HeadRule:
    """Register a rule that every head must keep."""
    HEAD_RULES.append(rule)
    return rule


def check_head(head: ResponseHead) -> None:
    """Raise `MalformedResponse` unless a head keeps all rules."""
    for rule in HEAD_RULES:
        error = rule(head)
        if error:
            raise MalformedResponse(error)


@head_rule
def check_protocol(head: ResponseHead) -> str:
    """Require a version of HTTP/1 at the very beginning (RFC 9112, 2.1, 2.3 and 4)."""
    if head.status_line.startswith(PROTOCOLS):
        return ""
    return f"expected HTTP/1.1 or HTTP/1.0, got {head.status_line[:MAX_SHOWN_BYTES]!r}"


@head_rule
def check_status(head: ResponseHead) -> str:
    """Require a status code of one of the five classes (RFC 9110, 15)."""
    if FIRST_STATUS <= head.status <= LAST_STATUS:
        return ""
    return f"expected a status from {FIRST_STATUS} to {LAST_STATUS}, got {head.status:03}"


@head_rule
def check_reason(head: ResponseHead) -> str:
    """Require a status line without control bytes (RFC 9112, 4)."""
    if CONTROL_BYTE.search(head.status_line) is None:
        return ""
    return f"expected no control byte, got {head.status_line[:MAX_SHOWN_BYTES]!r}"


@head_rule
def check_transfer_coding(head: ResponseHead) -> str:
    """Require that chunks are the only transfer coding, if there is one (RFC 9112, 6.1 and 7).

    No other coding was asked for, and callers would get a body without its coding's name. The
    parser takes only a field that ends with the word for chunks.
    """
    values = [value for name, value in head.headers if name.lower() == b"transfer-encoding"]
    if not values:
        return ""
    elements = [element.strip(b" \t") for value in values for element in value.split(b",")]
    codings = [element.lower() for element in elements if element]
    ends_with_it = values[-1].rstrip(b" ").lower().endswith(CHUNKED)
    if codings == [CHUNKED] and ends_with_it and head.status_line.startswith(b"HTTP/1.1"):
        return ""
    got = b", ".join(values)[:MAX_SHOWN_BYTES]
    return f"expected no transfer coding but chunked, and in HTTP/1.1 only, got {got!r}"
