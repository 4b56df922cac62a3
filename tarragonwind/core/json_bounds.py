"""Bound the number of items in a JSON document before it is parsed."""

from __future__ import annotations

import re

MAX_JSON_ITEMS = 50_000
"""Maximum number of commas, arrays and objects; parsed, each item takes up to 230 bytes."""

_SEPARATOR_OR_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[,\[{]', re.DOTALL)
QUOTE = ord('"')


def has_too_many_items(body: bytes, limit: int = MAX_JSON_ITEMS) -> bool:
    """Return whether a document has more than `limit` items outside its strings."""
    if body.count(b",") + body.count(b"[") + body.count(b"{") <= limit:
        return False
    count = 0
    for match in _SEPARATOR_OR_STRING.finditer(body):
        if body[match.start()] != QUOTE:
            count += 1
            if count > limit:
                return True
    return False
