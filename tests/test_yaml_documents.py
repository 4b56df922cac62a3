"""Test the line numbers of YAML documents and the refusal of ambiguous or oversized ones."""

import pytest

from tarragonwind.yaml_documents import DocumentError, parse_document


def test_line_numbers_are_kept_for_keys_and_items():
    doc = parse_document("a: 1\nb:\n  - c: 2\n  - d:\n      e: 3\n")
    assert doc.data == {"a": 1, "b": [{"c": 2}, {"d": {"e": 3}}]}
    assert doc.line_of(("b", 1, "d", "e")) == 5
    assert doc.line_of(("b", 0, "missing")) == 3


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("a: 1\na: 2\n", "line 2: duplicate key 'a'"),
        ("a: &x [1]\nb: *x\n", "line 2: aliases are not allowed"),
        ("a: [1\n", "line 2"),
        ("a: 1\n---\nb: 2\n", "line 2"),
        ("a: !!python/object:os.system {}\n", "line 1"),
        ("[" * 5000, "line 1: nested deeper than 32 levels"),
        ("a: 2026-13-45\n", "can't be read"),
    ],
)
def test_unacceptable_documents_are_refused(text, fault):
    with pytest.raises(DocumentError) as caught:
        parse_document(text)
    assert fault in str(caught.value)
