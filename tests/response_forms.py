"""Hold responses of upstreams that are broken, and sound ones that look unusual."""

SEALED = b"Server-Seal: s\r\nAttempt-Id: %b\r\n"
BODY = b"id: 1\ndata: forged\n\n"
"""Body of the broken responses; it must not reach a caller as a whole answer."""
SIZED = b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
CHUNK = b"%x\r\n" % len(BODY) + BODY + b"\r\n"


def with_status_line(line: bytes, rest: bytes = SIZED) -> bytes:
    """Return a response with this status line; `%b` stands for the id of the request."""
    return line + b"\r\n" + SEALED + rest


def with_fields(fields: bytes, rest: bytes = b"\r\n" + BODY) -> bytes:
    """Return a response with further header fields; `rest` begins with the empty line."""
    return b"HTTP/1.1 200 OK\r\n" + SEALED + fields + rest


NO_STATUS = {
    f"status-{status}{name}": with_status_line(b"HTTP/1.1 " + status.encode() + b" X", rest)
    for status in ("000", "001", "099", "600", "700", "999")
    for name, rest in (("", SIZED), ("-unframed", b"\r\n" + BODY))
} | {
    "status-000-chunked": with_status_line(
        b"HTTP/1.1 000 X", b"Transfer-Encoding: chunked\r\n\r\n" + CHUNK + b"0\r\n\r\n"
    ),
    "status-000-no-reason": with_status_line(b"HTTP/1.1 000"),
    "status-000-no-body": with_status_line(b"HTTP/1.1 000 X", b"Content-Length: 0\r\n\r\n"),
    "status-000-not-run": with_status_line(b"HTTP/1.1 000 X", b"Not-Executed: 1\r\n" + SIZED),
    "status-000-after-interim": b"HTTP/1.1 100 Continue\r\n\r\n"
    + with_status_line(b"HTTP/1.1 000 X"),
}
"""Statuses outside of 100 to 599 (RFC 9110, 15)."""

ODD_STATUS_LINES = {
    name: with_status_line(line)
    for name, line in {
        "two-digits": b"HTTP/1.1 20 OK",
        "four-digits": b"HTTP/1.1 2000 OK",
        "signed": b"HTTP/1.1 +20 OK",
        "no-blank": b"HTTP/1.1 200OK",
        "two-blanks": b"HTTP/1.1  200 OK",
        "tab": b"HTTP/1.1\t200 OK",
        "lower-case": b"http/1.1 200 OK",
        "version-1.2": b"HTTP/1.2 200 OK",
        "version-3.0": b"HTTP/3.0 200 OK",
        "version-short": b"HTTP/1 200 OK",
        "shoutcast": b"ICY 200 OK",
        "request": b"GET / HTTP/1.1",
        "blank-before": b" HTTP/1.1 200 OK",
        "return-in-reason": b"HTTP/1.1 200 O\rK",
    }.items()
} | {"bare-line-ends": with_status_line(b"HTTP/1.1 200 OK").replace(b"\r\n", b"\n")}
"""Status lines that the parser refuses by itself."""

OTHER_PROTOCOLS = {
    name: with_status_line(line)
    for name, line in {
        "rtsp": b"RTSP/1.0 200 OK",
        "rtsp-1.1": b"RTSP/1.1 200 OK",
        "ice": b"ICE/1.0 200 OK",
        "version-0.9": b"HTTP/0.9 200 OK",
        "version-2.0": b"HTTP/2.0 200 OK",
        "empty-line-before": b"\r\nHTTP/1.1 200 OK",
        "bare-line-before": b"\nHTTP/1.1 200 OK",
        "rtsp-after-interim": b"HTTP/1.1 103 Early\r\n\r\nRTSP/1.1 200 OK",
        "rtsp-after-bare-interim": b"HTTP/1.1 103 Early\n\nRTSP/1.1 200 OK",
    }.items()
}
"""Status lines of other protocols or versions, or with something before them."""

CONTROLS_IN_REASON = {
    f"reason-{byte:02x}": with_status_line(b"HTTP/1.1 200 O" + bytes([byte]) + b"K")
    for byte in (0x00, 0x01, 0x08, 0x0B, 0x1B, 0x7F)
}
"""Reasons with a control byte (RFC 9112, 4)."""

ODD_NAMES = [b"A B", b"A ", b" A", b"A\t", b"\tA", b""]
ODD_NAMES += [b"A%cB" % byte for byte in (0, 1, 8, 11, 12, 27, 0x7F, 0x80, 0xFF)]
ODD_NAMES += [b"A%cB" % byte for byte in b'()<>@,;\\"/[]?={}']
FIELD_NAMES = {
    f"name-{name.hex() or 'empty'}-{place}": response
    for name in ODD_NAMES
    for place, response in (
        ("first", with_fields(name + b": 1\r\n", SIZED)),
        ("last", with_fields(b"Content-Length: %d\r\n" % len(BODY) + name + b": 1\r\n")),
        ("length", with_fields(b"Content-Length" + name + b": 1\r\n", b"\r\n" + BODY)),
    )
    if not (place == "length" and name == b"")
} | {
    "folded": with_fields(b"A: 1\r\n b\r\n", SIZED),
    "no-colon": with_fields(b"A\r\n", SIZED),
    "bare-line-end": with_fields(b"A: 1\nB: 2\r\n", SIZED),
    "bare-return": with_fields(b"A: 1\rB: 2\r\n", SIZED),
}
"""Field names that are no token (RFC 9110, 5.1), and lines that are no field."""
FIELD_VALUES = {
    f"value-{byte:02x}": with_fields(b"A: x%cy\r\n" % byte, SIZED)
    for byte in (0x00, 0x01, 0x08, 0x0B, 0x0C, 0x1B, 0x7F)
}
"""Field values with a control byte (RFC 9110, 5.5)."""

LENGTHS = {
    name: with_fields(fields)
    for name, fields in {
        "length-twice": b"Content-Length: 3\r\nContent-Length: 20\r\n",
        "length-list": b"Content-Length: 20, 20\r\n",
        "length-signed": b"Content-Length: +20\r\n",
        "length-negative": b"Content-Length: -1\r\n",
        "length-hex": b"Content-Length: 0x14\r\n",
        "length-empty": b"Content-Length:\r\n",
        "length-blank-inside": b"Content-Length: 2 0\r\n",
        "length-overflow": b"Content-Length: 99999999999999999999\r\n",
        "length-and-chunked": b"Content-Length: 20\r\nTransfer-Encoding: chunked\r\n",
        "chunked-and-length": b"Transfer-Encoding: chunked\r\nContent-Length: 20\r\n",
    }.items()
}
"""Lengths that the parser refuses by itself."""

CODINGS = {
    name: with_fields(b"Transfer-Encoding: " + coding + b"\r\n", b"\r\n" + CHUNK + b"0\r\n\r\n")
    for name, coding in {
        "coded-and-chunked": b"gzip, chunked",
        "coded-in-two-fields": b"gzip\r\nTransfer-Encoding: chunked",
        "chunked-twice": b"chunked, chunked",
        "chunked-in-two-fields": b"chunked\r\nTransfer-Encoding: chunked",
        "coded": b"gzip",
        "identity": b"identity",
        "identity-and-chunked": b"identity, chunked",
        "chunked-before-another": b"chunked, gzip",
        "chunked-with-parameter": b"chunked;q=1",
        "chunked-quoted": b'"chunked"',
        "chunked-and-tab": b"chunked\t",
        "comma-after-chunked": b"chunked,",
        "no-coding": b",",
    }.items()
} | {
    "chunked-in-1.0": with_status_line(
        b"HTTP/1.0 200 OK", b"Transfer-Encoding: chunked\r\n\r\n" + CHUNK + b"0\r\n\r\n"
    )
}
"""Transfer codings other than one `chunked` of HTTP/1.1 (RFC 9112, 6.1 and 7)."""

CHUNKED = with_fields(b"Transfer-Encoding: chunked\r\n", b"\r\n")
CHUNKS = {
    name: CHUNKED + rest
    for name, rest in {
        "size-hex-prefix": b"0x" + CHUNK + b"0\r\n\r\n",
        "size-signed": b"-" + CHUNK + b"0\r\n\r\n",
        "size-blank": b" " + CHUNK + b"0\r\n\r\n",
        "size-overflow": b"10000000000000000\r\n" + BODY,
        "no-size": b"\r\n" + BODY + b"\r\n0\r\n\r\n",
        "no-end-of-chunk": CHUNK.removesuffix(b"\r\n") + b"0\r\n\r\n",
        "longer-than-size": CHUNK.removesuffix(b"\r\n") + b"x\r\n0\r\n\r\n",
        "bare-line-ends": (CHUNK + b"0\r\n\r\n").replace(b"\r\n", b"\n"),
        "control-in-extension": b"%x;\x01\r\n" % len(BODY) + BODY + b"\r\n0\r\n\r\n",
        "blank-before-extension": b"%x ;a=b\r\n" % len(BODY) + BODY + b"\r\n0\r\n\r\n",
        "blank-in-extension": b"%x;a= b\r\n" % len(BODY) + BODY + b"\r\n0\r\n\r\n",
        "no-last-chunk": CHUNK,
        "trailer-blank": CHUNK + b"0\r\nA B: 1\r\n\r\n",
        "trailer-control": CHUNK + b"0\r\nA\x01: 1\r\n\r\n",
        "trailer-value": CHUNK + b"0\r\nA: \x00\r\n\r\n",
        "trailer-unended": CHUNK + b"0\r\nA: 1\r\n",
    }.items()
}
"""Bodies in chunks that are none; their heads are sound."""

INNER = b"HTTP/1.1 200 OK\r\n" + SIZED
INTERIM_BODIES = {
    "interim-with-length": b"HTTP/1.1 199 X\r\n" + SEALED + SIZED,
    "interim-with-chunks": b"HTTP/1.1 104 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    + CHUNK
    + b"0\r\n\r\n",
    "interim-with-an-answer": b"HTTP/1.1 199 X\r\nContent-Length: %d\r\n\r\n" % len(INNER) + INNER,
    "interim-alone": b"HTTP/1.1 100 Continue\r\n\r\n",
    "switch": b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + BODY,
}
"""Interim responses with a body, which have none (RFC 9112, 6.3), or without a final one."""

ENCODED = {
    name: with_fields(b"Content-Encoding: " + value + b"\r\n", SIZED)
    for name, value in {
        "gzip": b"gzip",
        "upper-case": b"GZIP",
        "two": b"identity, gzip",
        "second-field": b"identity\r\nContent-Encoding: br",
        "unknown": b"x",
    }.items()
}
"""Successes with an encoded body, which is not the upstream's by the platform's protocol."""

REFUSED_HEADS = {
    "no-status": NO_STATUS,
    "odd-status-lines": ODD_STATUS_LINES,
    "other-protocols": OTHER_PROTOCOLS,
    "controls-in-reason": CONTROLS_IN_REASON,
    "field-names": FIELD_NAMES,
    "field-values": FIELD_VALUES,
    "lengths": LENGTHS,
    "codings": CODINGS,
    "interim-bodies": INTERIM_BODIES,
}
"""Responses of which nothing may reach a caller, by their fault."""

GOOD = b"id: 1\ndata: good\n\n"
GOOD_SIZED = b"Content-Length: %d\r\n\r\n" % len(GOOD) + GOOD
GOOD_CHUNK = b"%x\r\n" % len(GOOD) + GOOD + b"\r\n"


def good(line: bytes = b"HTTP/1.1 200 OK", fields: bytes = b"", rest: bytes = GOOD_SIZED) -> bytes:
    """Return a sound response."""
    return line + b"\r\n" + SEALED + fields + rest


SOUND = {
    "plain": (200, good()),
    "no-reason": (200, good(b"HTTP/1.1 200")),
    "empty-reason": (200, good(b"HTTP/1.1 200 ")),
    "long-reason": (200, good(b"HTTP/1.1 200 All is well,\tindeed")),
    "reason-beyond-ascii": (200, good(b"HTTP/1.1 200 S\xec")),
    "reason-with-a-protocol": (200, good(b"HTTP/1.1 200 RTSP/1.0 200 OK")),
    "version-1.0": (200, good(b"HTTP/1.0 200 OK")),
    "version-1.0-unframed": (200, good(b"HTTP/1.0 200 OK", b"", b"\r\n" + GOOD)),
    "unframed": (200, good(rest=b"\r\n" + GOOD)),
    "chunked": (200, good(rest=b"Transfer-Encoding: chunked\r\n\r\n" + GOOD_CHUNK + b"0\r\n\r\n")),
    "chunked-case": (
        200,
        good(rest=b"tRANSFER-eNCODING: Chunked\r\n\r\n" + GOOD_CHUNK + b"0\r\n\r\n"),
    ),
    "chunked-empty-element": (
        200,
        good(rest=b"Transfer-Encoding: , chunked\r\n\r\n" + GOOD_CHUNK + b"0\r\n\r\n"),
    ),
    "chunked-and-blank": (
        200,
        good(rest=b"Transfer-Encoding: chunked \r\n\r\n" + GOOD_CHUNK + b"0\r\n\r\n"),
    ),
    "chunk-extension": (
        200,
        good(
            rest=b'Transfer-Encoding: chunked\r\n\r\n%x;a=b;c="d e"\r\n' % len(GOOD)
            + GOOD
            + b"\r\n000\r\n\r\n"
        ),
    ),
    "trailer": (
        200,
        good(rest=b"Transfer-Encoding: chunked\r\n\r\n" + GOOD_CHUNK + b"0\r\nA: 1\r\n\r\n"),
    ),
    "names-case": (
        200,
        good()
        .replace(b"Content-Length", b"cONTENT-lENGTH")
        .replace(b"Server-Seal", b"SERVER-SEAL"),
    ),
    "token-names": (200, good(fields=b"!#$%&'*+-.^_`|~09: 1\r\n")),
    "value-beyond-ascii": (200, good(fields=b"A: \xe9\xff\r\n")),
    "no-content-coding": (200, good(fields=b"Content-Encoding: Identity\r\n")),
    "failure-encoded": (500, good(b"HTTP/1.1 500 X", b"Content-Encoding: gzip\r\n")),
    "value-empty": (200, good(fields=b"A:\r\n")),
    "value-tabs": (200, good(fields=b"A:\tx\ty \r\n")),
    "length-zeros": (200, good(rest=GOOD_SIZED.replace(b": ", b": 00", 1))),
    "length-blanks": (200, good(rest=GOOD_SIZED.replace(b"\r\n", b" \t\r\n", 1))),
    "interim-before": (200, b"HTTP/1.1 100 Continue\r\n\r\n" + good()),
    "hints-before": (200, b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 3 + good()),
    "unknown-interim-before": (200, b"HTTP/1.1 199\r\nA: 1\r\n\r\n" + good()),
    "interim-empty-length": (200, b"HTTP/1.1 102 X\r\nContent-Length: 0\r\n\r\n" + good()),
    "created": (201, good(b"HTTP/1.1 201 Created")),
    "not-found": (404, good(b"HTTP/1.1 404 Not Found")),
    "teapot": (418, good(b"HTTP/1.1 418 X")),
    "failure": (500, good(b"HTTP/1.1 500 X")),
    "failure-unframed": (500, good(b"HTTP/1.1 500 X", b"", b"\r\n" + GOOD)),
    "last-status": (599, good(b"HTTP/1.1 599 X")),
    "unknown-status": (299, good(b"HTTP/1.1 299 X")),
}
"""Responses that pass to callers, with their status; their body is `GOOD`."""


def fill(response: bytes, attempt: bytes = b"") -> bytes:
    """Return the bytes of a response to the request with this id."""
    return response.replace(b"%b", attempt)
