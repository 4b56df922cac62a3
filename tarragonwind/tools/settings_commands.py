"""Implement the ``settings`` commands: check and keys."""

from __future__ import annotations

from tarragonwind.settings_files import SettingsError, read_settings
from tarragonwind.settings_tables import setting_rows
from tarragonwind.tools.exit_codes import CommandError, ExitCode
from tarragonwind.tools.outputs import Column, Output

_COLUMNS = [
    Column("KEY", lambda row: row.path),
    Column("DEFAULT", lambda row: row.default),
    Column("ALLOWED", lambda row: row.allowed),
]


class SettingsCommands:
    """Check settings files and list the settings keys."""

    def __init__(self, output: Output) -> None:
        self._output = output

    def check(self, file: str) -> None:
        """Check a settings file and show it with the defaults filled in."""
        try:
            cfg = read_settings(str(file))
        except SettingsError as exc:
            lines = [f"{file}: {line}" for line in str(exc).splitlines()]
            raise CommandError(ExitCode.REFUSED, "\n".join(lines)) from exc
        self._output.show(cfg, lambda: f"{file}: valid for host {cfg.host.name}")

    def keys(self) -> None:
        """List all settings keys with their defaults and allowed values."""
        self._output.show_table(setting_rows(), _COLUMNS, "")
