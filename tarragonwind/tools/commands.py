"""Define the top-level commands and map errors to exit codes."""

from __future__ import annotations

import functools
import importlib
import json
import sys
from collections.abc import Sequence

import fire

from tarragonwind.core.entries import UpstreamEntry, UpstreamState, dump_entry, parse_entry
from tarragonwind.core.upstream_statuses import UpstreamReport
from tarragonwind.operator_services import (
    CatalogueItem,
    DaemonReport,
    DrainResult,
    HostReport,
    OperatorError,
    OperatorErrorKind,
)
from tarragonwind.settings_files import SettingsError, read_settings
from tarragonwind.tools.catalogue_commands import (
    IN_FORCE_TIMEOUT_S,
    CatalogueCommands,
    describe_conflict,
)
from tarragonwind.tools.change_writers import split_into_batches
from tarragonwind.tools.exit_codes import EXIT_CODES, CommandError, ExitCode
from tarragonwind.tools.move_commands import MoveCommands
from tarragonwind.tools.operator_clients import ResponseLost
from tarragonwind.tools.outputs import Column, Output, format_table, to_jsonable
from tarragonwind.tools.sessions import Session, require_number
from tarragonwind.tools.settings_commands import SettingsCommands

_HOST_COLUMNS = [
    Column("HOST", lambda item: item.name),
    Column("DATA CENTRE", lambda item: item.data_centre),
    Column("ADDRESS", lambda item: item.address),
    Column("STATE", lambda item: item.state),
    Column("NUMBER", lambda item: item.number),
    Column("HEARD S", lambda item: f"{item.heard_s:.1f}"),
]
_UPSTREAM_COLUMNS = [
    Column("UPSTREAM", lambda item: item.name),
    Column("POOL", lambda item: item.pool),
    Column("VERSION", lambda item: item.version),
    Column("STATE", lambda item: item.state),
    Column("IN PROGRESS", lambda item: f"{item.in_progress}/{item.slots}"),
    Column("TOKENS/S", lambda item: f"{item.tokens_per_s:.0f}"),
    Column("FAILURES", lambda item: item.failures),
    Column("REPORT AGE S", lambda item: _format_age(item.report_age_s)),
]


class Commands:
    """Run the request scheduler and operate its hosts.

    Parameters
    ----------
    at : str
        Operator addresses, IP:port separated by commas. Default: TARRAGONWIND_AT.
    token_file : str
        File with the operator's token. Default: TARRAGONWIND_TOKEN_FILE.
    json : bool
        Print results as JSON.
    """

    def __init__(self, at: str = "", token_file: str = "", json: bool = False) -> None:
        self._output = Output(bool(json))
        at_text = ",".join(at) if isinstance(at, list | tuple) else str(at)
        self._session = Session(at_text, str(token_file), self._output)
        self.settings = SettingsCommands(self._output)
        self.catalogue = CatalogueCommands(self._session)
        self.move = MoveCommands(self._session)

    def serve(self, settings: str) -> None:
        """Run the daemon with a settings file until it is stopped."""
        try:
            cfg = read_settings(str(settings))
        except SettingsError as exc:
            lines = [f"{settings}: {line}" for line in str(exc).splitlines()]
            raise CommandError(ExitCode.REFUSED, "\n".join(lines)) from exc
        # Imported here because the other commands start faster without the daemon's modules.
        importlib.import_module("tarragonwind.daemons").run_daemon(cfg)

    def status(self) -> None:
        """Show the state of the first host that responds."""
        report = self._session.client.get("/v1/status", DaemonReport)
        self._output.show(report, lambda: describe_daemon(report))

    def hosts(self) -> None:
        """List the hosts as seen from the first host that responds."""
        reports = self._session.client.get("/v1/hosts", list[HostReport])
        self._output.show_table(reports, _HOST_COLUMNS, "no hosts")

    def upstreams(self) -> None:
        """List the upstreams as seen from the first host that responds."""
        reports = self._session.client.get("/v1/upstreams", list[UpstreamReport])
        self._output.show_table(reports, _UPSTREAM_COLUMNS, "no upstreams")

    def drain(self, host: str = "", upstream: str = "", wait_s: float = IN_FORCE_TIMEOUT_S) -> None:
        """Start the graceful shutdown of a host, or stop sending new requests to an upstream."""
        wait_s = require_number(wait_s, "wait-s")
        if bool(host) == bool(upstream):
            raise CommandError(ExitCode.USAGE, "give either --host NAME or --upstream NAME")
        if host:
            self._drain_host(str(host))
        else:
            self._drain_upstream(str(upstream), wait_s)

    def _drain_host(self, host: str) -> None:
        for address in self._session.client.addresses:
            client = self._session.client.restrict_to(address)
            try:
                name = client.get("/v1/status", DaemonReport).host
            except CommandError:
                continue
            if name == host:
                result = client.post("/v1/drain", {}, DrainResult)
                self._output.show(result, functools.partial(describe_drain, result))
                return
        raise CommandError(
            ExitCode.UNREACHABLE,
            f"{host}: not found at the given addresses; give its own address by --at",
        )

    def _drain_upstream(self, upstream: str, wait_s: float) -> None:
        path = f"/v1/catalogue/upstream/{upstream}"
        item = self._session.client.get(path, CatalogueItem)
        doc = {**dump_entry(item.entry), "state": UpstreamState.LEAVING.value}
        entry = parse_entry(UpstreamEntry.kind, doc)
        self._session.write(split_into_batches([entry], []), item.number, wait_s)


def describe_daemon(report: DaemonReport) -> str:
    """Format the state of a daemon as a table."""
    store = f"away for {report.store_away_s:.0f} s" if report.store_away_s else "answers"
    rows = [
        ("host", f"{report.host} in {report.data_centre}"),
        ("ready", "yes" if report.ready else "stopping" if report.stopping else "no"),
        ("catalogue", f"number {report.number}"),
        ("store", store),
        ("live hosts", report.live_hosts),
        ("in progress", report.in_progress),
        ("waiting by tier", report.waiting),
        ("shed by tier", report.sheds),
    ]
    columns = [Column("WHAT", lambda row: row[0]), Column("STATE", lambda row: row[1])]
    return format_table(rows, columns)


def describe_drain(result: DrainResult) -> str:
    """Format the result of a drain as text."""
    return f"{result.host} is stopping with {result.in_progress} in progress"


def _format_age(age_s: float) -> str:
    return "-" if age_s < 0 else f"{age_s:.1f}"


def normalise_args(arguments: Sequence[str]) -> list[str]:
    """Write ``--json`` as ``--json=True``: Fire would take the next argument as its value."""
    return ["--json=True" if argument == "--json" else argument for argument in arguments]


def run_command(arguments: Sequence[str]) -> ExitCode:
    """Run one command and return its exit code; errors go to standard error."""
    try:
        fire.Fire(Commands, command=normalise_args(arguments), name="tarragonwind")
    except CommandError as exc:
        _print_error(exc.message)
        return exc.code
    except OperatorError as exc:
        _print_operator_error(exc, "--json" in arguments)
        return EXIT_CODES[exc.kind]
    except ResponseLost as exc:
        _print_error(f"response lost: {exc}; check the current state before you repeat the command")
        return ExitCode.NOT_SETTLED
    return ExitCode.OK


def _print_operator_error(exc: OperatorError, as_json: bool) -> None:
    if exc.kind is OperatorErrorKind.CONFLICT and as_json:
        print(json.dumps({"kind": exc.kind.value, "current": to_jsonable(exc.current)}))
    elif exc.kind is OperatorErrorKind.CONFLICT:
        _print_error(describe_conflict(exc))
    else:
        _print_error(f"{exc.kind.value}: {exc.message}")


def _print_error(message: str) -> None:
    if message:
        print(message, file=sys.stderr)


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(int(run_command(sys.argv[1:])))
