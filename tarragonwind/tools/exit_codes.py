"""Define the exit codes of the command line."""

from __future__ import annotations

import enum

from tarragonwind.operator_services import OperatorErrorKind


class ExitCode(enum.IntEnum):
    """Define the exit codes of the command line."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_SETTLED = 5
    TAKEN_BACK = 6


EXIT_CODES: dict[OperatorErrorKind, ExitCode] = {
    OperatorErrorKind.MALFORMED: ExitCode.REFUSED,
    OperatorErrorKind.UNAUTHORIZED: ExitCode.REFUSED,
    OperatorErrorKind.NOT_FOUND: ExitCode.REFUSED,
    OperatorErrorKind.METHOD_REFUSED: ExitCode.REFUSED,
    OperatorErrorKind.CONFLICT: ExitCode.CONFLICT,
    OperatorErrorKind.GONE: ExitCode.REFUSED,
    OperatorErrorKind.TOO_LARGE: ExitCode.REFUSED,
    OperatorErrorKind.ENTRY_REFUSED: ExitCode.REFUSED,
    OperatorErrorKind.STORE_UNAVAILABLE: ExitCode.UNREACHABLE,
    OperatorErrorKind.OUTCOME_UNKNOWN: ExitCode.NOT_SETTLED,
    OperatorErrorKind.STOPPING: ExitCode.UNREACHABLE,
    OperatorErrorKind.INTERNAL: ExitCode.NOT_SETTLED,
}
"""Exit code of each error kind of the operator API."""


class CommandError(Exception):
    """End a command with an exit code other than 0.

    Parameters
    ----------
    code : ExitCode
        Exit code of the process.
    message : str
        Message for standard error; nothing is printed when empty.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
