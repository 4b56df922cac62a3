"""Test that the settings page matches the settings classes, and that its examples are valid."""

import re
from pathlib import Path

import yaml

from tarragonwind.settings_files import parse_settings
from tarragonwind.settings_tables import setting_rows

PAGE = (Path(__file__).parent.parent / "docs" / "CONFIGURATION.md").read_text(encoding="utf-8")
ROW = re.compile(r"^\| `([a-z_.\[\]]+)` \| `(.*?)` \| (\S+) \| (.*?) \| (.+?) \|$", re.MULTILINE)
UNITS = {"_s": "seconds", "_bytes": "bytes"}


def test_the_page_lists_each_key_with_default_unit_and_range():
    rows = [match.groups() for match in ROW.finditer(PAGE.replace("\\|", "\0"))]
    found = [(key, default, allowed.replace("\0", "|")) for key, default, _, allowed, _ in rows]
    assert found == [(row.path, row.default, row.allowed) for row in setting_rows()]
    for key, _, unit, _, _ in rows:
        suffix = next((suffix for suffix in UNITS if key.endswith(suffix)), "")
        assert unit == UNITS.get(suffix, "-"), key


def test_the_examples_are_valid():
    examples = re.findall(r"```yaml\n(.*?)```", PAGE, re.DOTALL)
    assert len(examples) == 2
    for example in examples:
        assert parse_settings(example).host.name == yaml.safe_load(example)["host"]["name"]
