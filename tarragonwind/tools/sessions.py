"""Define the context that commands share: operator client and output."""

from __future__ import annotations

import os
from typing import Any

from tarragonwind.tools.change_writers import ChangeBatch, ChangeReport, ChangeWriter
from tarragonwind.tools.exit_codes import CommandError, ExitCode
from tarragonwind.tools.operator_clients import OperatorClient, parse_addresses, read_token
from tarragonwind.tools.outputs import Output

ADDRESS_VARIABLE = "TARRAGONWIND_AT"
TOKEN_VARIABLE = "TARRAGONWIND_TOKEN_FILE"


class Session:
    """Create the client on first use, so that commands without a host need no address or token.

    Parameters
    ----------
    at : str
        Operator addresses, ``IP:port`` separated by commas.
    token_file : str
        File with the operator's token.
    output : Output
        Prints the results.
    """

    __slots__ = ("_at", "_client", "_token_file", "output")

    def __init__(self, at: str, token_file: str, output: Output) -> None:
        self._at = at
        self._token_file = token_file
        self._client: OperatorClient | None = None
        self.output = output

    @property
    def client(self) -> OperatorClient:
        """Return the operator client, created on first use."""
        if self._client is None:
            addresses = parse_addresses(self._at or os.environ.get(ADDRESS_VARIABLE, ""))
            token = read_token(self._token_file or os.environ.get(TOKEN_VARIABLE, ""))
            self._client = OperatorClient(addresses, token)
        return self._client

    def write(self, batches: list[ChangeBatch], expected: int, wait_s: float) -> None:
        """Write batches, wait until live hosts have applied them and print a report.

        Raises
        ------
        CommandError
            When a change is accepted, but not every live host has applied it within `wait_s`.
        """
        report = ChangeWriter(self.client).write_all(batches, expected, wait_s)
        self.output.show(report, lambda: describe_report(report))
        if report.behind:
            raise CommandError(
                ExitCode.NOT_SETTLED,
                f"accepted, but not in force within {wait_s:g} s on: {', '.join(report.behind)}",
            )


def describe_report(report: ChangeReport) -> str:
    """Format a change report as text."""
    live = len(report.in_force) + len(report.behind)
    return (
        f"accepted as number {report.number}: {', '.join(report.keys)}\n"
        f"in force on {len(report.in_force)} of {live} live hosts after {report.waited_s:.2f} s"
    )


def require_number(value: Any, name: str, minimum: float = 0) -> float:
    """Return the value of a flag if it is a number of at least `minimum`.

    Raises
    ------
    CommandError
        When the value is not a number or below `minimum`.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= minimum:
        raise CommandError(
            ExitCode.USAGE, f"--{name}: expected a number of at least {minimum:g}, got {value!r}"
        )
    return value
