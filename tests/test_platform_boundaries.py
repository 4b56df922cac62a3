"""Test that the platform's wire names stay in its package, and that the package holds no logic."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "tarragonwind"
PLATFORM_PACKAGE = PACKAGE / "platform"
DAEMON_MODULE = PACKAGE / "platform_daemons.py"
WIRE_NAMES = (
    "apiKeys",
    "coldMs",
    "expectedRev",
    "gapTargetMs",
    "maxAttempts",
    "pathPrefix",
    "plainTokens",
    "quotaSlack",
    "ratePerS",
    "streamResume",
    "targetLatencyMs",
    "trafficSplit",
    "ttlMs",
    "waitMs",
    "expect-instance",
    "not-executed",
    "request-deadline",
    "server-seal",
    "token-counts",
    "kv-txn",
    "kv-watch",
)
MAX_PLATFORM_LINES = 1_200


def list_modules(folder):
    return [path for path in folder.rglob("*.py") if "__pycache__" not in path.parts]


def imported_names(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def test_only_the_platform_daemon_and_its_start_import_the_package():
    importers = {
        path
        for path in list_modules(PACKAGE)
        if PLATFORM_PACKAGE not in path.parents
        and any(name.startswith("tarragonwind.platform.") for name in imported_names(path))
    }
    assert importers == {DAEMON_MODULE, PACKAGE / "platform_start.py"}


def test_no_other_module_contains_wire_names():
    found = []
    for path in list_modules(PACKAGE):
        if PLATFORM_PACKAGE in path.parents:
            continue
        text = path.read_text(encoding="utf-8").lower()
        found += [(path.name, name) for name in WIRE_NAMES if name.lower() in text]
    assert found == []


def test_the_package_is_small_and_uses_no_timers_or_permits():
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in list_modules(PLATFORM_PACKAGE)
    )
    assert lines <= MAX_PLATFORM_LINES
    for path in list_modules(PLATFORM_PACKAGE):
        text = path.read_text(encoding="utf-8")
        assert "call_later" not in text and "call_every" not in text, path
        assert "tarragonwind.core.permits" not in text, path
