"""Check an entry against the rest of the catalogue before it is written."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tarragonwind.core.catalogues import Catalogue, Content
from tarragonwind.core.entries import (
    BackEndKind,
    MoveEntry,
    OrganisationEntry,
    PoolEntry,
    RouteEntry,
    UpstreamEntry,
)
from tarragonwind.core.verdicts import MoveVerdict
from tarragonwind.errors import EntryError

MAX_NAMES_SHOWN = 20


@dataclass(slots=True)
class EntryCheck:
    """Hold one entry with the catalogue before and after the whole write.

    Attributes
    ----------
    key : str
        Key of the entry.
    before, after : Catalogue
        State in force and the state that the write would give.
    problems : list of str
        One line for each fault: path, fault and allowed range.
    """

    key: str
    before: Catalogue
    after: Catalogue
    problems: list[str]

    def add_problem(self, field: str, problem: str) -> None:
        """Add a fault of one field."""
        path = f"{self.key}.{field}" if field else self.key
        self.problems.append(f"{path}: {problem}")

    def require_entry(self, field: str, kind: str, name: str) -> None:
        """Add a fault unless the write leaves an entry of that kind and name."""
        names = self.after.contents(kind)
        if name not in names:
            self.add_problem(field, f"no {kind} {name!r}; use one of: {list_names(names)}")


PutCheck = Callable[[EntryCheck, Content], None]
DeleteCheck = Callable[[EntryCheck, str], None]

PUT_CHECKS: dict[type, PutCheck] = {}
"""Checks by class of entry, filled by `register_put_check`."""
DELETE_CHECKS: dict[str, DeleteCheck] = {}
"""Checks by kind of entry, filled by `register_delete_check`."""


def register_put_check(cls: type) -> Callable[[Callable[[EntryCheck, Content], None]], PutCheck]:
    """Register a function as the check of entries of one class."""

    def register(function: PutCheck) -> PutCheck:
        PUT_CHECKS[cls] = function
        return function

    return register


def register_delete_check(kind: str) -> Callable[[DeleteCheck], DeleteCheck]:
    """Register a function as the check before an entry of one kind is removed."""

    def register(function: DeleteCheck) -> DeleteCheck:
        DELETE_CHECKS[kind] = function
        return function

    return register


def list_names(names: Iterable[str]) -> str:
    """Return names for an error message, shortened."""
    shown = sorted(names)
    text = ", ".join(shown[:MAX_NAMES_SHOWN]) or "(none yet)"
    return text if len(shown) <= MAX_NAMES_SHOWN else f"{text}, ..."


def check_write(before: Catalogue, after: Catalogue, keys: Iterable[str]) -> None:
    """Refuse a write that would leave a contradiction.

    Parameters
    ----------
    before, after : Catalogue
        State in force and the state that the write would give.
    keys : iterable of str
        Keys that it writes or removes.

    Raises
    ------
    EntryError
        With one line for each fault: path, fault and allowed range.
    """
    problems: list[str] = []
    for key in keys:
        check = EntryCheck(key, before, after, problems)
        if key in after.records:
            _check_put(check)
        else:
            _check_delete(check)
    if problems:
        raise EntryError("\n".join(problems))


def _check_put(check: EntryCheck) -> None:
    content = check.after.entry(check.key)
    if content is None:
        check.add_problem("", "can't be read back; check its fields")
        return
    if content.key != check.key:
        check.add_problem("name", f"must match the key {check.key!r}")
    PUT_CHECKS[type(content)](check, content)


def _check_delete(check: EntryCheck) -> None:
    kind, _, name = check.key.partition("/")
    if check.key not in check.before.records:
        check.add_problem("", "doesn't exist")
    elif kind in DELETE_CHECKS:
        DELETE_CHECKS[kind](check, name)


@register_put_check(OrganisationEntry)
def check_organisation(check: EntryCheck, entry: Content) -> None:
    """Refuse a token that names two organisations."""
    assert isinstance(entry, OrganisationEntry)
    for index, token in enumerate(entry.token_sha256):
        found = check.after.organisation_for(token)
        earlier = check.before.organisation_for(token)
        for other in (found, earlier):
            if other is None or other.name == entry.name:
                continue
            if token in getattr(check.after.entry(other.key), "token_sha256", ()):
                check.add_problem(f"token_sha256.{index}", f"is a token of {other.name!r} already")
                break


@register_put_check(PoolEntry)
def check_pool(check: EntryCheck, entry: Content) -> None:
    """Refuse changes that contradict the pool's routes or its move."""
    assert isinstance(entry, PoolEntry)
    for route in _routes_of(check.after, entry.name):
        if not _matches(route, entry):
            check.add_problem(
                "back_end", f"route {route.name!r} needs the other kind; change it first"
            )
    before = check.before.pool(entry.name)
    move = check.after.move_of(entry.name)
    if before and move and before.version != entry.version:
        allowed = f"keep {before.version!r} until the move has a verdict"
        check.add_problem("version", f"move {move.name!r} is under way; {allowed}")


@register_put_check(RouteEntry)
def check_route(check: EntryCheck, entry: Content) -> None:
    """Refuse a route that serves nothing, or what another route serves."""
    assert isinstance(entry, RouteEntry)
    check.require_entry("pool", "pool", entry.pool)
    pool = check.after.pool(entry.pool)
    if bool(entry.model) == bool(entry.path_prefix):
        check.add_problem("model", "set either model or path_prefix")
    elif pool and not _matches(entry, pool):
        allowed = "model" if pool.back_end is BackEndKind.ENGINE else "path_prefix"
        check.add_problem("model", f"pool {pool.name!r} has {pool.back_end.value}s; set {allowed}")
    if entry.path_prefix and not entry.path_prefix.startswith("/"):
        check.add_problem("path_prefix", "must begin with '/'")
    for name in entry.organisations:
        if name not in check.after.contents("organisation"):
            check.add_problem("organisations", f"no organisation {name!r}; create it first")
    _check_route_is_alone(check, entry)


def _check_route_is_alone(check: EntryCheck, entry: RouteEntry) -> None:
    prefix = entry.path_prefix.rstrip("/")
    for other in check.after.contents("route").values():
        if not isinstance(other, RouteEntry) or other.name == entry.name:
            continue
        if entry.model and other.model == entry.model:
            check.add_problem("model", f"route {other.name!r} serves {entry.model!r} already")
        if entry.path_prefix and other.path_prefix and other.path_prefix.rstrip("/") == prefix:
            check.add_problem("path_prefix", f"route {other.name!r} serves it already")


@register_put_check(UpstreamEntry)
def check_upstream(check: EntryCheck, entry: Content) -> None:
    """Refuse an upstream without a pool, or on another's address."""
    assert isinstance(entry, UpstreamEntry)
    check.require_entry("pool", "pool", entry.pool)
    for other in check.after.contents("upstream").values():
        if not isinstance(other, UpstreamEntry) or other.name == entry.name:
            continue
        if (other.host, other.port) == (entry.host, entry.port):
            check.add_problem(
                "port", f"upstream {other.name!r} has {entry.host}:{entry.port} already"
            )


@register_put_check(MoveEntry)
def check_move(check: EntryCheck, entry: Content) -> None:
    """Refuse a move that can't be made, or a change to one that is under way."""
    assert isinstance(entry, MoveEntry)
    if check.before.verdict_of(entry.name) is not None:
        check.add_problem("name", "has a verdict, which is final; use a new name")
        return
    check.require_entry("pool", "pool", entry.pool)
    if entry.from_version == entry.to_version:
        check.add_problem("to_version", "must differ from from_version")
    if entry.done_by <= entry.starts_at:
        check.add_problem("done_by", f"must be later than starts_at, {entry.starts_at}")
    pool = check.after.pool(entry.pool)
    if pool and pool.version != entry.from_version:
        check.add_problem("from_version", f"pool {pool.name!r} serves {pool.version!r}; use that")
    for other in check.after.contents("move").values():
        if not isinstance(other, MoveEntry) or other.name == entry.name:
            continue
        if other.pool == entry.pool and check.after.verdict_of(other.name) is None:
            check.add_problem("pool", f"move {other.name!r} is under way; cancel it or wait")
    _check_move_stays(check, entry)


def _check_move_stays(check: EntryCheck, entry: MoveEntry) -> None:
    before = check.before.entry(check.key)
    if not isinstance(before, MoveEntry):
        return
    for field in ("pool", "from_version", "to_version", "starts_at"):
        if getattr(before, field) != getattr(entry, field):
            check.add_problem(
                field, f"is {getattr(before, field)!r} and stays; cancel the move instead"
            )


@register_put_check(MoveVerdict)
def check_verdict(check: EntryCheck, verdict: Content) -> None:
    """Refuse a verdict for no move, or a second one."""
    assert isinstance(verdict, MoveVerdict)
    check.require_entry("move", "move", verdict.move)
    if check.before.verdict_of(verdict.move) is not None:
        check.add_problem("outcome", "is recorded and final")


@register_delete_check("pool")
def check_pool_delete(check: EntryCheck, name: str) -> None:
    """Refuse to remove a pool that is in use."""
    users = [route.key for route in _routes_of(check.after, name)]
    users += [upstream.key for upstream in check.after.upstreams_of(name)]
    move = check.after.move_of(name)
    if move is not None:
        users.append(move.key)
    if users:
        check.add_problem("", f"is in use; remove first: {list_names(users)}")


@register_delete_check("organisation")
def check_organisation_delete(check: EntryCheck, name: str) -> None:
    """Refuse to remove an organisation that a route names."""
    for route in check.after.contents("route").values():
        if isinstance(route, RouteEntry) and name in route.organisations:
            check.add_problem("", f"is named by route {route.name!r}; change it first")


@register_delete_check("move")
def check_move_delete(check: EntryCheck, name: str) -> None:
    """Refuse to remove a move that has no verdict."""
    if check.before.verdict_of(name) is None:
        check.add_problem("", "is under way; set state to 'cancelled' and wait for its verdict")


@register_delete_check("verdict")
def check_verdict_delete(check: EntryCheck, name: str) -> None:
    """Refuse to remove a verdict."""
    check.add_problem("", "is final")


def _routes_of(catalogue: Catalogue, pool: str) -> list[RouteEntry]:
    routes = catalogue.contents("route").values()
    return [item for item in routes if isinstance(item, RouteEntry) and item.pool == pool]


def _matches(route: RouteEntry, pool: PoolEntry) -> bool:
    """Tell whether a route's match suits the pool's back ends."""
    return bool(route.model) == (pool.back_end is BackEndKind.ENGINE)
