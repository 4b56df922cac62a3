"""Check that the platform's names stay in its folder, and that the folder decides nothing."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "tarragonwind"
FOLDER = PACKAGE / "platform"
TOP = PACKAGE / "platform_daemons.py"
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
MAX_FOLDER_LINES = 1_200


def modules(folder):
    return [path for path in folder.rglob("*.py") if "__pycache__" not in path.parts]


def imported(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def test_only_the_top_object_imports_the_folder():
    importers = {
        path
        for path in modules(PACKAGE)
        if FOLDER not in path.parents
        and any(name.startswith("tarragonwind.platform.") for name in imported(path))
    }
    assert importers == {TOP, PACKAGE / "platform_start.py"}


def test_no_other_module_names_the_wire():
    found = []
    for path in modules(PACKAGE):
        if FOLDER in path.parents:
            continue
        text = path.read_text(encoding="utf-8").lower()
        found += [(path.name, name) for name in WIRE_NAMES if name.lower() in text]
    assert found == []


def test_the_folder_is_small_and_keeps_no_state_over_time():
    lines = sum(len(path.read_text(encoding="utf-8").splitlines()) for path in modules(FOLDER))
    assert lines <= MAX_FOLDER_LINES
    for path in modules(FOLDER):
        text = path.read_text(encoding="utf-8")
        assert "call_later" not in text and "call_every" not in text, path
        assert "tarragonwind.core.permits" not in text, path
