"""Write changes through a daemon, with safe retries when a response is lost."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from dataclasses import field

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
from tarragonwind.records import dataclass
from tarragonwind.tools.exit_codes import CommandError, ExitCode
from tarragonwind.tools.operator_clients import OperatorClient, ResponseLost

CONFIRM_TIMEOUT_S = 30.0
"""Time limit for writing a change, retries and look-ups included, in seconds."""
RETRY_PERIOD_S = 0.5
PROPAGATION_POLL_PERIOD_S = 0.05

Sleep = Callable[[float], None]


@dataclass(slots=True)
class ChangeReport:
    """Describe how far accepted changes have propagated.

    Attributes
    ----------
    number : int
        Catalogue number of the last change.
    keys : list of str
        Keys of the entries that were written or removed.
    in_force, behind : list of str
        Live hosts that have applied the number, and that have not.
    waited_s : float
        Time from acceptance to the last poll of the hosts, in seconds.
    """

    number: int
    keys: list[str]
    in_force: list[str] = field(default_factory=list)
    behind: list[str] = field(default_factory=list)
    waited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Group entries that are written or removed in one change."""

    puts: list[Entry]
    deletes: list[str]

    def touched_keys(self) -> list[str]:
        """Return the keys of all entries of the batch."""
        return [entry.key for entry in self.puts] + self.deletes


def split_into_batches(puts: list[Entry], deletes: list[str]) -> list[ChangeBatch]:
    """Split entries, in order, into batches of at most `MAX_ENTRIES_PER_CHANGE`."""
    batches = []
    for start in range(0, len(puts), MAX_ENTRIES_PER_CHANGE):
        batches.append(ChangeBatch(puts[start : start + MAX_ENTRIES_PER_CHANGE], []))
    for start in range(0, len(deletes), MAX_ENTRIES_PER_CHANGE):
        batches.append(ChangeBatch([], deletes[start : start + MAX_ENTRIES_PER_CHANGE]))
    return batches


class ChangeWriter:
    """Write batches of entries; each is accepted at most once.

    Parameters
    ----------
    client : OperatorClient
        Client of the operator API.
    sleep : callable, optional
        Called with the seconds to wait between attempts.
    """

    __slots__ = ("_client", "_sleep")

    def __init__(self, client: OperatorClient, sleep: Sleep = time.sleep) -> None:
        self._client = client
        self._sleep = sleep

    def write(self, batch: ChangeBatch, expected: int) -> ChangeResult:
        """Write one batch and retry after lost responses.

        After a lost response, the change is looked up by its write id and, unless the store has
        it, sent again with the same id and the same expected number. If an earlier copy arrives
        late, the comparison with the expected number lets only one copy take effect.

        Raises
        ------
        OperatorError
            When the change is rejected; nothing was written.
        CommandError
            When no host responds, or it stays unknown whether the change was written.
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
                    return self._resolve_rejection(write_id, exc)
                lost = True
            except CommandError:
                if not lost:
                    raise
            found = self._find_write(write_id)
            if found is not None and found.accepted:
                return ChangeResult(found.number, repeated=True)
            self._sleep(RETRY_PERIOD_S)
        raise _unknown_outcome(write_id)

    def _resolve_rejection(self, write_id: str, rejection: OperatorError) -> ChangeResult:
        """Return the result of an earlier copy of a rejected change, or raise the rejection."""
        found = self._find_write(write_id)
        if found is None:
            raise _unknown_outcome(write_id)
        if found.accepted:
            return ChangeResult(found.number, repeated=True)
        raise rejection

    def _find_write(self, write_id: str) -> WriteOutcome | None:
        try:
            return self._client.get(f"/v1/writes/{write_id}", WriteOutcome)
        except (OperatorError, CommandError):
            return None

    def wait_in_force(self, number: int, wait_s: float) -> ChangePropagation:
        """Poll until every live host has applied a number, for at most `wait_s` seconds."""
        deadline = time.monotonic() + wait_s
        while True:
            propagation = self._client.get(f"/v1/changes/{number}", ChangePropagation)
            if not propagation.behind or time.monotonic() >= deadline:
                return propagation
            self._sleep(PROPAGATION_POLL_PERIOD_S)

    def write_all(self, batches: list[ChangeBatch], expected: int, wait_s: float) -> ChangeReport:
        """Write batches in order and wait until every live host has applied the last one.

        Raises
        ------
        OperatorError, CommandError
            As for `write`; the message of an `OperatorError` lists the keys accepted before it.
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
        propagation = self.wait_in_force(report.number, wait_s)
        report.in_force = propagation.in_force
        report.behind = propagation.behind
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
