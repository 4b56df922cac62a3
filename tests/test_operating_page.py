"""Check docs/OPERATIONS.md: its commands run, its log events and exit codes match the code."""

import re
import shlex
from pathlib import Path

import pytest

from tarragonwind.operator_services import MoveOutcome
from tarragonwind.tools.commands import run_command
from tarragonwind.tools.exit_codes import ExitCode
from tests.operator_fakes import TOKEN, FakeOperatorService, ThreadedOperatorServer, move_report

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
COMMANDS = sorted(set(re.findall(r"(?:^|`)tarragonwind ([^`\n]+)", PAGE, re.MULTILINE)))
SKIPPED_PREFIXES = ("serve", "--at", "--help")
"""Prefixes of commands that start a daemon or are only mentioned in a sentence."""

LOG_CALL = re.compile(r"logger\s*\.(\w+)\((?:[^=]{0,90}?,)?\s*\"event=([a-z_]+)")
LOG_CALL_WITH_OPTIONS = re.compile(r"logger\.opt\([^)]*\)\s*\.(\w+)\(\s*\"event=([a-z_]+)")
ALERT_LEVELS = {"warning", "error", "exception"}

ENTRIES = """\
- {kind: pool, name: chat, owner: ana, back_end: engine, version: v1}
- {kind: route, name: draft, owner: ana, pool: chat, tier: 2, model: small}
- {kind: route, name: old, owner: ana, pool: chat, tier: 3, model: old}
- {kind: upstream, name: e1, owner: ana, pool: chat, version: v1, host: 10.0.0.1, port: 1,
   data_centre: etna}
"""
PLACEHOLDERS = {"route/": "route/draft", "--host ": "--host a1", "--upstream ": "--upstream e1"}
PLACEHOLDERS |= {"move status ": "move status m1", "move cancel ": "move cancel m1"}


def logged_events():
    events = {}
    for path in (ROOT / "tarragonwind").rglob("*.py"):
        text = path.read_text(encoding="utf-8")
        for pattern in (LOG_CALL, LOG_CALL_WITH_OPTIONS):
            for level, event in pattern.findall(text):
                events.setdefault(event, set()).add(level)
    return events


def documented_events():
    table = PAGE.split("## What the log says")[1].split("\n## ")[0]
    first_cells = re.findall(r"^\| (`.*?) \|", table, re.MULTILINE)
    return {event for cell in first_cells for event in re.findall(r"`([a-z_]+)`", cell)}


def test_every_alert_is_documented_and_every_documented_event_is_logged():
    events = logged_events()
    documented = documented_events()
    alerts = {event for event, levels in events.items() if levels & ALERT_LEVELS}
    assert alerts - documented == set()
    assert documented - set(events) == set()


def test_documented_exit_codes_match_the_program():
    rows = re.findall(r"^\| (\d) \| ([a-z ]+) \|", PAGE, re.MULTILINE)
    expected = [(str(int(code)), code.name.lower().replace("_", " ")) for code in ExitCode]
    assert rows == expected


@pytest.fixture
def running(tmp_path, monkeypatch):
    token_file = tmp_path / "tokens"
    token_file.write_text(f"ana:{TOKEN}\n")
    (tmp_path / "entries.yaml").write_text(ENTRIES)
    (tmp_path / "FILE").write_text("host: {name: a1, data_centre: etna}\n")
    monkeypatch.chdir(tmp_path)
    service = FakeOperatorService()
    service.move_reports = [move_report(MoveOutcome.DONE)]
    with ThreadedOperatorServer(service, str(token_file)) as server:
        monkeypatch.setenv("TARRAGONWIND_AT", f"127.0.0.1:{server.port}")
        monkeypatch.setenv("TARRAGONWIND_TOKEN_FILE", str(token_file))
        yield server


def test_every_documented_command_runs(running):
    assert run_command(["catalogue", "put", "entries.yaml"]) == ExitCode.OK
    move = ["move", "start", "m1", "--pool=chat", "--to-version=v2", "--owner=ana"]
    assert run_command([*move, "--within-s=60"]) == ExitCode.OK
    commands = [command for command in COMMANDS if not command.startswith(SKIPPED_PREFIXES)]
    assert len(commands) > 12
    for command in commands:
        for prefix, replacement in PLACEHOLDERS.items():
            command = command.replace(prefix + "NAME", replacement)
        assert run_command(shlex.split(command)) == ExitCode.OK, command
