"""Authenticate operators by bearer tokens from a file."""

from __future__ import annotations

import hashlib
import hmac
import os

from loguru import logger

from tarragonwind.records import dataclass

MIN_TOKEN_CHARS = 16
"""Minimum length of a token, in characters."""
MAX_FILE_CHARS = 64 * 1024
"""Maximum size of the token file, in characters."""


class TokenFileError(Exception):
    """Signal that a token file is too large, malformed or empty."""


@dataclass(frozen=True, slots=True)
class OperatorToken:
    """Represent an operator token by the label and the SHA-256 digest of a token."""

    label: str
    digest: bytes


class TokenFile:
    """Look up tokens in a file and reload it when its modification time changes."""

    __slots__ = ("_mtime_ns", "_path", "_tokens")

    def __init__(self, path: str) -> None:
        self._path = path
        self._mtime_ns = -1
        self._tokens: list[OperatorToken] = []
        self._reload()

    def find_label(self, token: str) -> str | None:
        """Return the label of a token, or None, in time independent of the token's value."""
        self._reload_if_changed()
        digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).digest()
        label = None
        for known in self._tokens:
            if hmac.compare_digest(known.digest, digest):
                label = known.label
        return label

    def _reload_if_changed(self) -> None:
        try:
            if os.stat(self._path).st_mtime_ns != self._mtime_ns:
                self._reload()
        except (OSError, TokenFileError) as exc:
            logger.warning(
                "event=token_file_unreadable path={} error={} action={}",
                self._path,
                type(exc).__name__,
                "restore the file; the tokens loaded before remain valid",
            )

    def _reload(self) -> None:
        self._mtime_ns = os.stat(self._path).st_mtime_ns
        with open(self._path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_CHARS + 1)
        if len(text) > MAX_FILE_CHARS:
            raise TokenFileError(f"{self._path}: larger than {MAX_FILE_CHARS} characters")
        self._tokens = parse_tokens(text)


def parse_tokens(text: str) -> list[OperatorToken]:
    """Parse lines of ``label:token``; empty lines and lines that begin with ``#`` are skipped.

    Raises
    ------
    TokenFileError
        When a line is malformed, a token is too short or the text holds no token.
    """
    tokens = []
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if not stripped or stripped.startswith("#"):
            continue
        label, separator, token = stripped.partition(":")
        if not separator or not label.isidentifier():
            raise TokenFileError(f"line {number}: expected label:token")
        if len(token) < MIN_TOKEN_CHARS:
            raise TokenFileError(
                f"line {number}: token has {len(token)} characters, minimum is {MIN_TOKEN_CHARS}"
            )
        tokens.append(OperatorToken(label, hashlib.sha256(token.encode()).digest()))
    if not tokens:
        raise TokenFileError("expected at least one label:token line, got none")
    return tokens
