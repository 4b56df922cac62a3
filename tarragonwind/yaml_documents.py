"""Parse YAML documents with line numbers, refusing duplicate keys, aliases and deep nesting."""

from __future__ import annotations

from dataclasses import field
from typing import Any

import yaml

from tarragonwind.records import dataclass

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
"""Maximum size of a YAML document, in bytes."""

MAX_DEPTH = 32
"""Maximum nesting depth of a YAML document."""

_OPENING_TOKENS = (
    yaml.BlockMappingStartToken,
    yaml.BlockSequenceStartToken,
    yaml.FlowMappingStartToken,
    yaml.FlowSequenceStartToken,
)
_CLOSING_TOKENS = (yaml.BlockEndToken, yaml.FlowMappingEndToken, yaml.FlowSequenceEndToken)

DocPath = tuple[str | int, ...]


class DocumentError(Exception):
    """Report text that is not a single acceptable YAML document."""


@dataclass(slots=True)
class Document:
    """Represent parsed data with the line number of each node.

    Attributes
    ----------
    data : object
        Parsed lists, maps and scalars.
    lines : dict
        Line number, from 1, by path; for the value of a map it is the line of its key.
    """

    data: Any
    lines: dict[DocPath, int] = field(default_factory=dict)

    def line_of(self, path: DocPath) -> int:
        """Return the line of a path, or of its nearest ancestor in the document."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def parse_document(text: str) -> Document:
    """Parse one YAML document.

    Raises
    ------
    DocumentError
        If the text is too large, is not valid YAML, is nested too deeply, uses aliases or repeats
        a key.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        raise DocumentError(f"the document is larger than {MAX_DOCUMENT_BYTES} bytes")
    loader = yaml.SafeLoader(text)
    try:
        _check_tokens(text)
        node = loader.get_single_node()
        if node is None:
            return Document(None)
        doc = Document(None)
        _collect_lines(node, (), doc.lines)
        doc.data = loader.construct_document(node)
        return doc
    except yaml.YAMLError as exc:
        raise DocumentError(_describe_yaml_error(exc)) from exc
    except ValueError as exc:
        raise DocumentError(f"the document can't be read: {type(exc).__name__}") from exc
    finally:
        loader.dispose()


def _check_tokens(text: str) -> None:
    depth = 0
    for token in yaml.scan(text, Loader=yaml.SafeLoader):
        line = token.start_mark.line + 1
        if isinstance(token, yaml.AliasToken):
            raise DocumentError(f"line {line}: aliases are not allowed")
        if isinstance(token, _OPENING_TOKENS):
            depth += 1
        elif isinstance(token, _CLOSING_TOKENS):
            depth -= 1
        if depth > MAX_DEPTH:
            raise DocumentError(f"line {line}: nested deeper than {MAX_DEPTH} levels")


def _collect_lines(node: yaml.Node, path: DocPath, lines: dict[DocPath, int]) -> None:
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            _collect_lines(item, (*path, index), lines)
    if isinstance(node, yaml.MappingNode):
        _collect_mapping(node, path, lines)


def _collect_mapping(node: yaml.MappingNode, path: DocPath, lines: dict[DocPath, int]) -> None:
    for key_node, value_node in node.value:
        line = key_node.start_mark.line + 1
        key_path = (*path, str(key_node.value))
        if key_path in lines:
            raise DocumentError(f"line {line}: duplicate key {key_node.value!r}")
        lines[key_path] = line
        _collect_lines(value_node, key_path, lines)


def _describe_yaml_error(exc: yaml.YAMLError) -> str:
    mark = getattr(exc, "problem_mark", None)
    problem = getattr(exc, "problem", None) or "not valid YAML"
    if mark is None:
        return str(problem)
    return f"line {mark.line + 1}: {problem}"
