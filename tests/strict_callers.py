"""Send requests to a host on connections that are kept, and read its answers by the grammar."""

import re
import socket

from standins.platform_fleets import AUTHORITY, KEYS, LOOKUP_PATH

PROMISES_NOT_RUN = {408, 421, 429, 503}
PROMISES_NOTHING = {502, 504}
CLOSED = 0
"""Stands for a connection that was closed or reset before a whole response."""
MIN_UPLOAD_BYTES = 1_000
"""Size from which a request of the route of lookups is sent with its body."""
HEAD_END = b"\r\n\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9]{2}) [\x20-\x7e]*\r\n")
FIELD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+: ?[\t\x20-\x7e\x80-\xff]*")


class StrictCaller:
    """Send requests on one connection as long as it stays open, and read answers strictly."""

    def __init__(self, address):
        self._address = address
        self._sock = None
        self._rest = b""

    def ask(self, path, attempt, form, upload=b"text"):
        """Return the status of the answer and its body; the status is `CLOSED` if it has no end."""
        if self._sock is None:
            self._sock = socket.create_connection(self._address, timeout=10)
            self._rest = b""
        method = "GET" if path == LOOKUP_PATH and len(upload) < MIN_UPLOAD_BYTES else "POST"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {AUTHORITY}\r\nAttempt-Id: {attempt}\r\n"
            f"Authorization: Bearer {KEYS['officina']}\r\nForm: {form}\r\n"
            "Request-Deadline: 4000\r\nToken-Counts: 100,50\r\nModel: m\r\n"
        )
        if method == "POST":
            head += f"Content-Length: {len(upload)}\r\n"
        try:
            self._sock.sendall(head.encode() + b"\r\n" + (upload if method == "POST" else b""))
            return self._read_answer()
        except (ConnectionError, EOFError):
            self.close()
            return CLOSED, b""

    def _read_answer(self):
        head = self._read_until(HEAD_END)
        line, _, lines = head.partition(b"\r\n")
        matched = STATUS_LINE.fullmatch(line + b"\r\n")
        assert matched, f"no status line: {line!r}"
        lines = lines.removesuffix(HEAD_END).split(b"\r\n")
        assert all(FIELD.fullmatch(each) for each in lines), f"no fields: {lines}"
        fields = {
            name.lower(): value.strip() for name, _, value in (x.partition(b":") for x in lines)
        }
        if fields.get(b"transfer-encoding") == b"chunked":
            body = b"".join(self._read_chunks())
        else:
            body = self._read(int(fields[b"content-length"]))
        if fields.get(b"connection") == b"close":
            assert not self._rest and self._sock.recv(1) == b""
            self.close()
        return int(matched[1]), body

    def _read_chunks(self):
        while size := int(self._read_until(b"\r\n"), 16):
            yield self._read(size)
            assert self._read(2) == b"\r\n"
        assert self._read(2) == b"\r\n"

    def _read_until(self, end):
        while end not in self._rest:
            self._receive()
        size = self._rest.index(end) + len(end)
        return self._read(size)

    def _read(self, size):
        while len(self._rest) < size:
            self._receive()
        data, self._rest = self._rest[:size], self._rest[size:]
        return data

    def _receive(self):
        data = self._sock.recv(65_536)
        if not data:
            raise EOFError
        self._rest += data

    def close(self):
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
