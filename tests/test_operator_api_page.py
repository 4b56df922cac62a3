"""Check docs/OPERATOR-API.md against the routes, the error kinds and the exit codes."""

import re
from pathlib import Path

from pydantic import TypeAdapter

from tarragonwind.adapters.operator_routes import ROUTES, ChangeBody
from tarragonwind.operator_services import OPERATOR_STATUSES, OperatorErrorKind
from tarragonwind.tools.exit_codes import EXIT_CODES

PAGE = (Path(__file__).parent.parent / "docs" / "OPERATOR-API.md").read_text(encoding="utf-8")
NAME = "([A-Za-z0-9._-]{1,100})"


def test_every_route_is_documented():
    rows = re.findall(r"^\| (GET|POST) \| `([^`]+)` \|", PAGE, re.MULTILINE)
    assert sorted(rows) == sorted(
        (route.method, route.pattern.pattern.replace(NAME, "{}")) for route in ROUTES
    )


def test_every_error_kind_is_documented():
    rows = re.findall(r"^\| `([a-z_]+)` \| (\d+) \| (\d) \|", PAGE, re.MULTILINE)
    assert rows == [
        (kind.value, str(OPERATOR_STATUSES[kind]), str(int(EXIT_CODES[kind])))
        for kind in OperatorErrorKind
    ]


def test_example_is_a_valid_change():
    example = re.findall(r"```json\n(.*?)```", PAGE, re.DOTALL)[0]
    assert TypeAdapter(ChangeBody).validate_json(example).puts[0].key == "pool/chat"
