"""Define the command line."""

from __future__ import annotations

import functools
import importlib
import json
import sys
from collections.abc import Sequence

import fire

from tarragonwind.core.entries import UpstreamEntry, UpstreamState, dump_entry, parse_entry
from tarragonwind.operator_services import (
    CatalogueItem,
    DaemonReport,
    DrainResult,
    HostReport,
    OperatorError,
    OperatorErrorKind,
    UpstreamReport,
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
    """Schedule requests to unlike upstreams, and operate the hosts that do.

    Parameters
    ----------
    at : str
        Operator addresses, IP:port separated by commas; or set TARRAGONWIND_AT.
    token_file : str
        File with the operator's token; or set TARRAGONWIND_TOKEN_FILE.
    json : bool
        Print JSON for programs.
    """

    def __init__(self, at: str = "", token_file: str = "", json: bool = False) -> None:
        self._output = Output(bool(json))
        at_text = ",".join(at) if isinstance(at, list | tuple) else str(at)
        self._session = Session(at_text, str(token_file), self._output)
        self.settings = SettingsCommands(self._output)
        self.catalogue = CatalogueCommands(self._session)
        self.move = MoveCommands(self._session)

    def serve(self, settings: str) -> None:
        """Run the daemon with a settings file, until it is told to stop."""
        try:
            cfg = read_settings(str(settings))
        except SettingsError as exc:
            lines = [f"{settings}: {line}" for line in str(exc).splitlines()]
            raise CommandError(ExitCode.REFUSED, "\n".join(lines)) from exc
        # Only this command needs the daemon's modules; the others start faster without them.
        importlib.import_module("tarragonwind.daemons").run_daemon(cfg)

    def status(self) -> None:
        """Tell how the first answering host stands."""
        report = self._session.client.get("/v1/status", DaemonReport)
        self._output.show(report, lambda: describe_daemon(report))

    def hosts(self) -> None:
        """List the hosts as the first answering one sees them."""
        reports = self._session.client.get("/v1/hosts", list[HostReport])
        self._output.show_table(reports, _HOST_COLUMNS, "no hosts")

    def upstreams(self) -> None:
        """List the upstreams as the first answering host sees them."""
        reports = self._session.client.get("/v1/upstreams", list[UpstreamReport])
        self._output.show_table(reports, _UPSTREAM_COLUMNS, "no upstreams")

    def drain(self, host: str = "", upstream: str = "", wait_s: float = IN_FORCE_TIMEOUT_S) -> None:
        """Begin the planned stop of a host, or give an upstream no new work."""
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
            ExitCode.UNREACHABLE, f"{host}: not at the given addresses; name its own by --at"
        )

    def _drain_upstream(self, upstream: str, wait_s: float) -> None:
        path = f"/v1/catalogue/upstream/{upstream}"
        item = self._session.client.get(path, CatalogueItem)
        doc = {**dump_entry(item.entry), "state": UpstreamState.LEAVING.value}
        entry = parse_entry(UpstreamEntry.kind, doc)
        self._session.write(split_into_batches([entry], []), item.number, wait_s)


def describe_daemon(report: DaemonReport) -> str:
    """Return how a daemon stands, for people."""
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
    """Return that a daemon is stopping, for people."""
    return f"{result.host} is stopping with {result.in_progress} in progress"


def _format_age(age_s: float) -> str:
    return "-" if age_s < 0 else f"{age_s:.1f}"


def normalise_args(arguments: Sequence[str]) -> list[str]:
    """Return arguments in which ``--json`` can't swallow the word after it."""
    return ["--json=True" if argument == "--json" else argument for argument in arguments]


def run_command(arguments: Sequence[str]) -> ExitCode:
    """Run one command and return its exit code; faults go to standard error."""
    try:
        fire.Fire(Commands, command=normalise_args(arguments), name="tarragonwind")
    except CommandError as exc:
        _print_error(exc.message)
        return exc.code
    except OperatorError as exc:
        _print_operator_error(exc, "--json" in arguments)
        return EXIT_CODES[exc.kind]
    except ResponseLost as exc:
        _print_error(f"the answer was lost: {exc}; ask again before you repeat the command")
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
