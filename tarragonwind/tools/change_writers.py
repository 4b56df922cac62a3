"""Write changes through a daemon and settle those whose answer was lost."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonwind.core.entries import Entry
from tarragonwind.operator_services import (
    MAX_ENTRIES_PER_CHANGE,
    ChangePropagation,
    ChangeResult,
    OperatorError,
    OperatorErrorKind,
    WriteOutcome,
    entry_to_dict,
)
from tarragonwind.tools.exit_codes import CommandError, ExitCode
from tarragonwind.tools.operator_clients import OperatorClient, ResponseLost

CONFIRM_TIMEOUT_S = 30.0
"""Time to find out what became of a change, in seconds."""
RETRY_PERIOD_S = 0.5
PROPAGATION_POLL_PERIOD_S = 0.05

Sleep = Callable[[float], None]


@dataclass(slots=True)
class ChangeReport:
    """Tell what became of a change.

    Attributes
    ----------
    number : int
        Catalogue number of the change.
    keys : list of str
        Entries that it touched.
    in_force, behind : list of str
        Live hosts that have it in force, and that have not.
    waited_s : float
        Time from acceptance to the last look at the hosts, in seconds.
    """

    number: int
    keys: list[str]
    in_force: list[str] = field(default_factory=list)
    behind: list[str] = field(default_factory=list)
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Hold entries that are written or removed together."""

    puts: list[Entry]
    deletes: list[str]

    def touched_keys(self) -> list[str]:
        """Return the keys of all entries of the batch."""
        return [entry.key for entry in self.puts] + self.deletes


def split_into_batches(puts: list[Entry], deletes: list[str]) -> list[ChangeBatch]:
    """Return batches that each fit one change, in order."""
    batches = []
    for start in range(0, len(puts), MAX_ENTRIES_PER_CHANGE):
        batches.append(ChangeBatch(puts[start : start + MAX_ENTRIES_PER_CHANGE], []))
    for start in range(0, len(deletes), MAX_ENTRIES_PER_CHANGE):
        batches.append(ChangeBatch([], deletes[start : start + MAX_ENTRIES_PER_CHANGE]))
    return batches


class ChangeWriter:
    """Write batches; each is accepted at most once.

    Parameters
    ----------
    client : OperatorClient
        Hosts to ask.
    sleep : callable, optional
        Pauses between two tries.
    """

    __slots__ = ("_client", "_sleep")

    def __init__(self, client: OperatorClient, sleep: Sleep = time.sleep) -> None:
        self._client = client
        self._sleep = sleep

    def write(self, batch: ChangeBatch, expected: int) -> ChangeResult:
        """Write one batch.

        A change whose answer was lost is looked up by its write id. It is sent again, with the
        same id and the same expected number, only after the store has said that it is not there;
        the comparison with the expected number lets only one copy take effect.

        Raises
        ------
        OperatorError
            When it is refused; nothing was written.
        CommandError
            When no host answers, or it stays unknown whether it was written.
        """
        write_id = secrets.token_hex(12)
        body = {
            "write_id": write_id,
            "expected": expected,
            "puts": [entry_to_dict(entry) for entry in batch.puts],
            "deletes": batch.deletes,
        }
        deadline = time.monotonic() + CONFIRM_TIMEOUT_S
        lost = False
        while time.monotonic() < deadline:
            try:
                return self._client.post("/v1/changes", body, ChangeResult)
            except ResponseLost:
                lost = True
            except OperatorError as exc:
                if exc.kind not in (OperatorErrorKind.OUTCOME_UNKNOWN, OperatorErrorKind.INTERNAL):
                    if not lost:
                        raise
                    return self._resolve_refusal(write_id, exc)
                lost = True
            except CommandError:
                if not lost:
                    raise
            found = self._find_write(write_id)
            if found is not None and found.accepted:
                return ChangeResult(found.number, repeated=True)
            self._sleep(RETRY_PERIOD_S)
        raise _unknown_outcome(write_id)

    def _resolve_refusal(self, write_id: str, refusal: OperatorError) -> ChangeResult:
        """Tell whether an earlier copy of a refused change had been accepted."""
        found = self._find_write(write_id)
        if found is None:
            raise _unknown_outcome(write_id)
        if found.accepted:
            return ChangeResult(found.number, repeated=True)
        raise refusal

    def _find_write(self, write_id: str) -> WriteOutcome | None:
        try:
            return self._client.get(f"/v1/writes/{write_id}", WriteOutcome)
        except (OperatorError, CommandError):
            return None

    def wait_in_force(self, number: int, wait_s: float) -> ChangePropagation:
        """Wait until a number is in force on every live host, or for `wait_s` seconds."""
        deadline = time.monotonic() + wait_s
        while True:
            spread = self._client.get(f"/v1/changes/{number}", ChangePropagation)
            if not spread.behind or time.monotonic() >= deadline:
                return spread
            self._sleep(PROPAGATION_POLL_PERIOD_S)

    def write_all(self, batches: list[ChangeBatch], expected: int, wait_s: float) -> ChangeReport:
        """Write batches in order and wait until the last is in force.

        Raises
        ------
        OperatorError, CommandError
            As `write`; the message names the entries that were accepted before.
        """
        report = ChangeReport(0, [])
        for batch in batches:
            try:
                result = self.write(batch, expected)
            except OperatorError as exc:
                raise _name_accepted(exc, report.keys) from exc
            report.number = max(report.number, result.number)
            report.keys += batch.touched_keys()
        accepted_at = time.monotonic()
        spread = self.wait_in_force(report.number, wait_s)
        report.in_force = spread.in_force
        report.behind = spread.behind
        report.waited_s = round(time.monotonic() - accepted_at, 3)
        return report


def _name_accepted(exc: OperatorError, accepted: list[str]) -> OperatorError:
    if not accepted:
        return exc
    message = f"{exc.message} (accepted before it: {', '.join(accepted)})"
    return OperatorError(exc.kind, message, exc.current)


def _unknown_outcome(write_id: str) -> CommandError:
    return CommandError(
        ExitCode.NOT_SETTLED,
        f"it is not known whether the change was accepted; look for write {write_id} in "
        "`tarragonwind catalogue history` before you repeat it",
    )
