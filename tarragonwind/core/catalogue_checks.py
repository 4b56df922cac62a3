"""Validate a write against the whole catalogue before it is committed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

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
from tarragonwind.records import dataclass

MAX_NAMES_SHOWN = 20


@dataclass(slots=True)
class EntryCheck:
    """Collect the problems of one entry of a write.

    Attributes
    ----------
    key : str
        Key of the entry.
    before, after : Catalogue
        Catalogue in force, and the catalogue as the whole write would leave it.
    problems : list of str
        One line for each problem: path of the field, problem and allowed values.
    """

    key: str
    before: Catalogue
    after: Catalogue
    problems: list[str]

    def refuse(self, field: str, problem: str) -> None:
        """Add a problem of one field, or of the whole entry if `field` is empty."""
        path = f"{self.key}.{field}" if field else self.key
        self.problems.append(f"{path}: {problem}")

    def require_entry(self, field: str, kind: str, name: str) -> None:
        """Add a problem unless an entry of that kind and name exists after the write."""
        names = self.after.contents(kind)
        if name not in names:
            self.refuse(field, f"no {kind} {name!r}; use one of: {list_names(names)}")


PutCheck = Callable[[EntryCheck, Content], None]
DeleteCheck = Callable[[EntryCheck, str], None]

PUT_CHECKS: dict[type, PutCheck] = {}
"""Checks of written entries by class."""
DELETE_CHECKS: dict[str, DeleteCheck] = {}
"""Checks of deleted entries by kind."""


def register_put_check(cls: type) -> Callable[[Callable[[EntryCheck, Content], None]], PutCheck]:
    """Return a decorator that registers the check of written entries of a class."""

    def register(function: PutCheck) -> PutCheck:
        PUT_CHECKS[cls] = function
        return function

    return register


def register_delete_check(kind: str) -> Callable[[DeleteCheck], DeleteCheck]:
    """Return a decorator that registers the check of deleted entries of a kind."""

    def register(function: DeleteCheck) -> DeleteCheck:
        DELETE_CHECKS[kind] = function
        return function

    return register


def list_names(names: Iterable[str]) -> str:
    """Join at most `MAX_NAMES_SHOWN` names for an error message."""
    shown = sorted(names)
    text = ", ".join(shown[:MAX_NAMES_SHOWN]) or "(none yet)"
    return text if len(shown) <= MAX_NAMES_SHOWN else f"{text}, ..."


def check_write(before: Catalogue, after: Catalogue, keys: Iterable[str]) -> None:
    """Reject a write that would leave the catalogue inconsistent.

    Parameters
    ----------
    before, after : Catalogue
        Catalogue in force, and the catalogue as the whole write would leave it.
    keys : iterable of str
        Keys that the write sets or deletes.

    Raises
    ------
    EntryError
        With one line for each problem: path of the field, problem and allowed values.
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
        check.refuse("", "can't be read back; check its fields")
        return
    if content.key != check.key:
        check.refuse("name", f"must match the key {check.key!r}")
    PUT_CHECKS[type(content)](check, content)


def _check_delete(check: EntryCheck) -> None:
    kind, _, name = check.key.partition("/")
    if check.key not in check.before.records:
        check.refuse("", "doesn't exist")
    elif kind in DELETE_CHECKS:
        DELETE_CHECKS[kind](check, name)


@register_put_check(OrganisationEntry)
def check_organisation(check: EntryCheck, entry: Content) -> None:
    """Reject a token that belongs to another organisation after the write."""
    assert isinstance(entry, OrganisationEntry)
    for index, token in enumerate(entry.token_sha256):
        found = check.after.organisation_for(token)
        earlier = check.before.organisation_for(token)
        for other in (found, earlier):
            if other is None or other.name == entry.name:
                continue
            if token in getattr(check.after.entry(other.key), "token_sha256", ()):
                check.refuse(f"token_sha256.{index}", f"is a token of {other.name!r} already")
                break


@register_put_check(PoolEntry)
def check_pool(check: EntryCheck, entry: Content) -> None:
    """Reject a back-end kind that doesn't fit the routes, or a new version during a move."""
    assert isinstance(entry, PoolEntry)
    for route in _routes_of(check.after, entry.name):
        if not _matches(route, entry):
            check.refuse("back_end", f"route {route.name!r} needs the other kind; change it first")
    before = check.before.pool(entry.name)
    move = check.after.move_of(entry.name)
    if before and move and before.version != entry.version:
        allowed = f"keep {before.version!r} until the move has a verdict"
        check.refuse("version", f"move {move.name!r} is under way; {allowed}")


@register_put_check(RouteEntry)
def check_route(check: EntryCheck, entry: Content) -> None:
    """Reject a route that matches no requests, or the same requests as another route."""
    assert isinstance(entry, RouteEntry)
    check.require_entry("pool", "pool", entry.pool)
    pool = check.after.pool(entry.pool)
    if bool(entry.model) == bool(entry.path_prefix):
        check.refuse("model", "set either model or path_prefix")
    elif pool and not _matches(entry, pool):
        allowed = "model" if pool.back_end is BackEndKind.ENGINE else "path_prefix"
        check.refuse("model", f"pool {pool.name!r} has {pool.back_end.value}s; set {allowed}")
    if entry.path_prefix and not entry.path_prefix.startswith("/"):
        check.refuse("path_prefix", "must begin with '/'")
    for name in entry.organisations:
        if name not in check.after.contents("organisation"):
            check.refuse("organisations", f"no organisation {name!r}; create it first")
    _check_route_is_unique(check, entry)


def _check_route_is_unique(check: EntryCheck, entry: RouteEntry) -> None:
    prefix = entry.path_prefix.rstrip("/")
    for other in check.after.contents("route").values():
        if not isinstance(other, RouteEntry) or other.name == entry.name:
            continue
        if entry.model and other.model == entry.model:
            check.refuse("model", f"route {other.name!r} serves {entry.model!r} already")
        if entry.path_prefix and other.path_prefix and other.path_prefix.rstrip("/") == prefix:
            check.refuse("path_prefix", f"route {other.name!r} serves it already")


@register_put_check(UpstreamEntry)
def check_upstream(check: EntryCheck, entry: Content) -> None:
    """Reject an upstream whose pool is missing or whose address is taken."""
    assert isinstance(entry, UpstreamEntry)
    check.require_entry("pool", "pool", entry.pool)
    for other in check.after.contents("upstream").values():
        if not isinstance(other, UpstreamEntry) or other.name == entry.name:
            continue
        if (other.host, other.port) == (entry.host, entry.port):
            check.refuse("port", f"upstream {other.name!r} has {entry.host}:{entry.port} already")


@register_put_check(MoveEntry)
def check_move(check: EntryCheck, entry: Content) -> None:
    """Reject an invalid move, or a change to the fixed fields of an active one."""
    assert isinstance(entry, MoveEntry)
    if check.before.verdict_of(entry.name) is not None:
        check.refuse("name", "has a verdict, which is final; use a new name")
        return
    check.require_entry("pool", "pool", entry.pool)
    if entry.from_version == entry.to_version:
        check.refuse("to_version", "must differ from from_version")
    if entry.done_by <= entry.starts_at:
        check.refuse("done_by", f"must be later than starts_at, {entry.starts_at}")
    pool = check.after.pool(entry.pool)
    if pool and pool.version != entry.from_version:
        check.refuse("from_version", f"pool {pool.name!r} serves {pool.version!r}; use that")
    for other in check.after.contents("move").values():
        if not isinstance(other, MoveEntry) or other.name == entry.name:
            continue
        if other.pool == entry.pool and check.after.verdict_of(other.name) is None:
            check.refuse("pool", f"move {other.name!r} is under way; cancel it or wait")
    _check_fixed_move_fields(check, entry)


def _check_fixed_move_fields(check: EntryCheck, entry: MoveEntry) -> None:
    before = check.before.entry(check.key)
    if not isinstance(before, MoveEntry):
        return
    for field in ("pool", "from_version", "to_version", "starts_at"):
        if getattr(before, field) != getattr(entry, field):
            check.refuse(field, f"is {getattr(before, field)!r} and stays; cancel the move instead")


@register_put_check(MoveVerdict)
def check_verdict(check: EntryCheck, verdict: Content) -> None:
    """Reject a verdict for a missing move, or a second verdict for a move."""
    assert isinstance(verdict, MoveVerdict)
    check.require_entry("move", "move", verdict.move)
    if check.before.verdict_of(verdict.move) is not None:
        check.refuse("outcome", "is recorded and final")


@register_delete_check("pool")
def check_pool_delete(check: EntryCheck, name: str) -> None:
    """Reject the deletion of a pool that routes, upstreams or an active move use."""
    users = [route.key for route in _routes_of(check.after, name)]
    users += [upstream.key for upstream in check.after.upstreams_of(name)]
    move = check.after.move_of(name)
    if move is not None:
        users.append(move.key)
    if users:
        check.refuse("", f"is in use; remove first: {list_names(users)}")


@register_delete_check("organisation")
def check_organisation_delete(check: EntryCheck, name: str) -> None:
    """Reject the deletion of an organisation that a route lists."""
    for route in check.after.contents("route").values():
        if isinstance(route, RouteEntry) and name in route.organisations:
            check.refuse("", f"is named by route {route.name!r}; change it first")


@register_delete_check("move")
def check_move_delete(check: EntryCheck, name: str) -> None:
    """Reject the deletion of a move without a verdict."""
    if check.before.verdict_of(name) is None:
        check.refuse("", "is under way; set state to 'cancelled' and wait for its verdict")


@register_delete_check("verdict")
def check_verdict_delete(check: EntryCheck, name: str) -> None:
    """Reject the deletion of any verdict."""
    check.refuse("", "is final")


def _routes_of(catalogue: Catalogue, pool: str) -> list[RouteEntry]:
    routes = catalogue.contents("route").values()
    return [item for item in routes if isinstance(item, RouteEntry) and item.pool == pool]


def _matches(route: RouteEntry, pool: PoolEntry) -> bool:
    """Return True if the route has a model and the pool engines, or neither."""
    return bool(route.model) == (pool.back_end is BackEndKind.ENGINE)
