"""Call the operator API of the first daemon that responds."""

from __future__ import annotations

import http.client
import ipaddress
import json
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from tarragonwind.core.response_rules import MalformedResponse, ResponseHead, check_head
from tarragonwind.operator_services import CatalogueItem, OperatorError, OperatorErrorKind
from tarragonwind.ports import Address
from tarragonwind.records import dataclass
from tarragonwind.tools.exit_codes import CommandError, ExitCode

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 30.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Maximum number of bytes of a response that are read."""

ResultT = TypeVar("ResultT")


class ResponseLost(Exception):
    """Signal that a request was sent and no complete response was received."""


class HostUnreachable(Exception):
    """Signal that the connection failed and no byte of the request was sent."""


@dataclass(frozen=True, slots=True)
class RawResponse:
    """Contain the status and body of a response."""

    status: int
    body: bytes


def parse_addresses(text: str) -> list[Address]:
    """Parse ``IP:port`` addresses separated by commas.

    Raises
    ------
    CommandError
        When an address is malformed or none is given.
    """
    addresses = []
    for part in filter(None, (item.strip() for item in text.split(","))):
        host, _, port = part.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            addresses.append(Address(host.strip("[]"), int(port)))
        except ValueError:
            raise CommandError(ExitCode.USAGE, f"--at: expected IP:port, got {part!r}") from None
    if not addresses:
        raise CommandError(
            ExitCode.USAGE, "no operator address given; use --at IP:port or set TARRAGONWIND_AT"
        )
    return addresses


def read_token(path: str) -> str:
    """Return the first token of a file with lines of ``token`` or ``label:token``."""
    if not path:
        raise CommandError(
            ExitCode.USAGE, "no token given; use --token-file FILE or set TARRAGONWIND_TOKEN_FILE"
        )
    try:
        with open(path, encoding="utf-8") as file:
            lines = [line.strip() for line in file]
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(ExitCode.USAGE, f"{path}: failed to read the token file: {exc}") from exc
    for line in lines:
        if line and not line.startswith("#"):
            return line.partition(":")[2] or line
    raise CommandError(ExitCode.USAGE, f"{path}: the token file holds no token")


def exchange(address: Address, method: str, path: str, body: bytes, token: str) -> RawResponse:
    """Send one request to one host and return its response.

    Raises
    ------
    HostUnreachable
        When the connection failed; nothing was sent.
    ResponseLost
        When the request may have been sent and no complete response was received.
    """
    conn = http.client.HTTPConnection(address.host, address.port, timeout=CONNECT_TIMEOUT_S)
    try:
        try:
            conn.connect()
        except OSError as exc:
            raise HostUnreachable(f"{address}: {exc}") from exc
        conn.sock.settimeout(RESPONSE_TIMEOUT_S)
        try:
            conn.request(method, path, body, {"Authorization": f"Bearer {token}"})
            resp = conn.getresponse()
            check_response(resp)
            return RawResponse(resp.status, resp.read(MAX_RESPONSE_BYTES))
        except (OSError, http.client.HTTPException) as exc:
            raise ResponseLost(f"{address}: {type(exc).__name__}") from exc
        except MalformedResponse as exc:
            raise ResponseLost(f"{address}: {exc}") from exc
    finally:
        conn.close()


def check_response(resp: http.client.HTTPResponse) -> None:
    """Refuse a head that the standard library takes and that is no response.

    Raises
    ------
    MalformedResponse
        If a line is no header field, or a rule for heads is broken.
    """
    if resp.msg.defects:
        raise MalformedResponse("expected header fields, got a line that is none")
    status_line = f"HTTP/1.{resp.version % 10} {resp.status:03} {resp.reason}"
    headers = [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in resp.getheaders()
    ]
    check_head(ResponseHead(status_line.encode("latin-1"), resp.status, headers))


class OperatorClient:
    """Send requests to hosts, in order of their addresses.

    Parameters
    ----------
    addresses : list of Address
        Operator addresses of the hosts.
    token : str
        Bearer token of the operator.
    """

    __slots__ = ("_token", "addresses")

    def __init__(self, addresses: list[Address], token: str) -> None:
        self.addresses = addresses
        self._token = token

    def get(self, path: str, result_type: type[ResultT]) -> ResultT:
        """Send a GET request to each host in order until one responds.

        Raises
        ------
        OperatorError
            When a host responds with an error.
        CommandError
            When no host responds.
        """
        reasons = []
        for address in self.addresses:
            try:
                raw = exchange(address, "GET", path, b"", self._token)
            except (HostUnreachable, ResponseLost) as exc:
                reasons.append(str(exc))
                continue
            return parse_response(raw, result_type)
        raise CommandError(ExitCode.UNREACHABLE, "no host responded: " + "; ".join(reasons))

    def post(self, path: str, body: Any, result_type: type[ResultT]) -> ResultT:
        """Send a POST request, once, to the first host that accepts a connection.

        Raises
        ------
        OperatorError
            When the host responds with an error.
        ResponseLost
            When the request may have been sent and no complete response was received.
        CommandError
            When no host accepts a connection; nothing was sent.
        """
        reasons = []
        payload = json.dumps(body).encode()
        for address in self.addresses:
            try:
                raw = exchange(address, "POST", path, payload, self._token)
            except HostUnreachable as exc:
                reasons.append(str(exc))
                continue
            return parse_response(raw, result_type)
        raise CommandError(ExitCode.UNREACHABLE, "no host responded: " + "; ".join(reasons))

    def restrict_to(self, address: Address) -> OperatorClient:
        """Return a client for one address with the same token."""
        return OperatorClient([address], self._token)


def parse_response(raw: RawResponse, result_type: type[ResultT]) -> ResultT:
    """Parse a response into its result type.

    Raises
    ------
    OperatorError
        When the response is an error of the operator API.
    ResponseLost
        When the response can't be parsed.
    """
    try:
        if raw.status == 200:
            return TypeAdapter(result_type).validate_json(raw.body)
        doc = json.loads(raw.body)
        kind = OperatorErrorKind(doc["kind"])
        current = TypeAdapter(list[CatalogueItem]).validate_python(doc.get("current", []))
    except (ValidationError, ValueError, KeyError, TypeError) as exc:
        raise ResponseLost(f"status {raw.status} with a body that can't be parsed") from exc
    raise OperatorError(kind, str(doc.get("message", "")), current)
