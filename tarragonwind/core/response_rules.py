"""Decide whether the head of a response is one of HTTP/1.1 (RFC 9112 and RFC 9110).

The parser refuses most of what is no response by itself. The rules here refuse what it lets
through; docs/design/http.md lists both, part by part.
"""

from __future__ import annotations

from collections.abc import Callable

from tarragonwind.records import dataclass

FIRST_STATUS, LAST_STATUS = 100, 599


class MalformedResponse(ValueError):
    """Signal bytes that are no response; the message tells what was expected and what came."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Hold the head of a final or an interim response.

    Attributes
    ----------
    status : int
        Status code as the parser has read it.
    headers : list of (bytes, bytes)
        Header fields.
    """

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
def check_status(head: ResponseHead) -> str:
    """Require a status code of one of the five classes (RFC 9110, 15)."""
    if FIRST_STATUS <= head.status <= LAST_STATUS:
        return ""
    return f"expected a status from {FIRST_STATUS} to {LAST_STATUS}, got {head.status:03}"
