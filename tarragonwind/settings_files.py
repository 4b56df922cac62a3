"""Read and validate a YAML settings file, reporting each fault with its line and key."""

from __future__ import annotations

import difflib
import ipaddress
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError

from tarragonwind.settings import Settings, StoreBackend
from tarragonwind.settings_tables import SettingRow, setting_rows
from tarragonwind.yaml_documents import DocPath, Document, DocumentError, parse_document

MAX_SETTINGS_BYTES = 1024 * 1024
"""Maximum size of a settings file, in bytes."""


class SettingsError(Exception):
    """Report invalid settings, with one line for each fault."""


def read_settings(path: str | Path) -> Settings:
    """Read and validate a settings file, filling in the defaults.

    Raises
    ------
    SettingsError
        If the file is unreadable or invalid; one line for each fault gives the line in the file,
        the path of the key, the fault and the allowed range.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_SETTINGS_BYTES + 1)
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: can't be read: {exc}") from exc
    if len(text) > MAX_SETTINGS_BYTES:
        raise SettingsError(f"{path}: larger than {MAX_SETTINGS_BYTES} bytes")
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Validate settings given as YAML text; raise `SettingsError` on any fault."""
    try:
        doc = parse_document(text)
    except DocumentError as exc:
        raise SettingsError(str(exc)) from exc
    if not isinstance(doc.data, dict):
        raise SettingsError(f"line 1: expected a map of sections, got {type(doc.data).__name__}")
    try:
        cfg = TypeAdapter(Settings).validate_python(doc.data)
    except ValidationError as exc:
        raise SettingsError(_describe_faults(doc, exc)) from exc
    conflicts = list(find_conflicts(cfg))
    if conflicts:
        raise SettingsError("\n".join(conflicts))
    return cfg


def find_conflicts(cfg: Settings) -> Iterator[str]:
    """Yield one line for each key that contradicts another key."""
    yield from _find_listen_conflicts(cfg)
    yield from _find_peer_conflicts(cfg)
    yield from _find_store_conflicts(cfg)
    yield from _find_incomplete_addresses(cfg)


def _find_listen_conflicts(cfg: Settings) -> Iterator[str]:
    sections = (("callers", cfg.callers), ("peers", cfg.peers), ("operators", cfg.operators))
    seen: dict[int, tuple[str, str]] = {}
    for name, section in sections:
        host, port = section.listen_host, section.listen_port
        if port in seen and _overlap(host, seen[port][1]):
            yield f"{name}.listen_port: {port} is also {seen[port][0]}.listen_port"
        seen.setdefault(port, (name, host))


def _overlap(left: str, right: str) -> bool:
    return left == right or _is_unspecified(left) or _is_unspecified(right)


def _is_unspecified(host: str) -> bool:
    return ipaddress.ip_address(host).is_unspecified


def _find_peer_conflicts(cfg: Settings) -> Iterator[str]:
    peers = cfg.peers
    if _is_unspecified(peers.advertised_address().host):
        yield "peers.advertised_host: needed, since peers.listen_host names no single address"
    others = [seed for seed in peers.seeds if seed.name != cfg.host.name]
    if others and not peers.secret_file and not peers.trusted_network:
        yield "peers.secret_file: needed, since peers.seeds names other hosts"
    names = [seed.name for seed in peers.seeds]
    for index, seed in enumerate(peers.seeds):
        if seed.name in names[:index]:
            yield f"peers.seeds[{index}].name: {seed.name} is listed twice"
        if seed.name == cfg.host.name and seed.address() != peers.advertised_address():
            yield (
                f"peers.seeds[{index}]: names this host at {seed.address()}, "
                f"but the peers section says {peers.advertised_address()}"
            )


def _find_store_conflicts(cfg: Settings) -> Iterator[str]:
    backend = cfg.store.backend
    if backend is not StoreBackend.MEMORY and not cfg.store.endpoints:
        yield f"store.endpoints: at least one is needed, since store.backend is {backend.value}"
    if cfg.store.backend is StoreBackend.MEMORY:
        if cfg.store.endpoints:
            yield "store.endpoints: must be empty, since store.backend is memory"
        if any(seed.name != cfg.host.name for seed in cfg.peers.seeds):
            yield "store.backend: memory serves a single host, but peers.seeds names others"


def _find_incomplete_addresses(cfg: Settings) -> Iterator[str]:
    for name, host, port in (
        ("host_list.", cfg.host_list.host, cfg.host_list.port),
        ("weights.", cfg.weights.host, cfg.weights.port),
        ("status.ready_", cfg.status.ready_host, cfg.status.ready_port),
        ("status.metrics_", cfg.status.metrics_host, cfg.status.metrics_port),
    ):
        if bool(host) != bool(port):
            yield f"{name}host: give both {name}host and {name}port, or neither"


def _describe_faults(doc: Document, exc: ValidationError) -> str:
    rows = {row.path: row for row in setting_rows()}
    lines = []
    for error in exc.errors(include_url=False):
        location: DocPath = error["loc"]
        path = _join_path(location)
        fault = _describe_fault(error, path, rows)
        lines.append(f"line {doc.line_of(location)}: {path}: {fault}")
    return "\n".join(lines)


def _join_path(location: DocPath) -> str:
    parts = [f"[{part}]" if isinstance(part, int) else f".{part}" for part in location]
    return "".join(parts).removeprefix(".")


def _describe_fault(error: Any, path: str, rows: dict[str, SettingRow]) -> str:
    kind = error["type"]
    if kind == "unexpected_keyword_argument":
        return "unknown key" + _suggest_key(path, rows)
    if kind == "missing":
        return "required"
    row = rows.get(_schema_path(error["loc"]))
    if row is None:
        return f"expected a map, got {error['input']!r:.60}"
    return f"got {error['input']!r:.60}; allowed: {row.allowed}"


def _schema_path(location: DocPath) -> str:
    parts = ["[]" if isinstance(part, int) else f".{part}" for part in location]
    return "".join(parts).removeprefix(".")


def _suggest_key(path: str, rows: dict[str, SettingRow]) -> str:
    known = {row.path for row in rows.values()} | {row.path.split(".")[0] for row in rows.values()}
    close = difflib.get_close_matches(path, sorted(known), n=1, cutoff=0.8)
    return f"; did you mean {close[0]}?" if close else ""
