"""Start and stop a small fleet on the platform's protocols: store, back ends, entry hosts."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.cut_hosts import CUT_VARIABLE
from standins.fleets import (
    HOST_ADDRESSES,
    Fleet,
    FleetProcess,
    call,
    consecutive_ports,
    free_port,
    set_faults,
    wait_until,
)
from standins.journals import read_journal

AUTHORITY = "fleet.example"
KEYS = {"officina": "key-officina", "cantiere": "key-cantiere"}
STREAM_PATH = "/draft/stream"
LOOKUP_PATH = "/lookup/7"
STAMP_PATH = "/stamp/7"
ROUTE_COMMON = {"host": AUTHORITY, "public": False, "sessionAffinity": False}
ZONE = "etna"
"""Zone of all hosts and back ends, unless `PlatformFleet.zones` names another."""
GRACE_S = 6
FIRST_START_MS = 1_700_000_000_000
"""Time of a back end's first start, in Unix milliseconds."""


@dataclass(frozen=True, slots=True)
class WrittenVersion:
    """Hold the limits of a configuration and when it was written.

    Attributes
    ----------
    at : float
        Wall-clock time in seconds.
    timeout_s, idle_s : float
        Timeout of all routes, and idle timeout of callers' connections, in seconds.
    """

    at: float
    timeout_s: float
    idle_s: float


@dataclass(slots=True)
class PlatformFleet:
    """Run stand-ins and entry hosts with their files in one directory.

    Parameters
    ----------
    directory : Path
        Directory of settings, logs and journals.
    base : dict
        Changes that all configurations contain, as arguments of `create_configuration`.
    versions : list of WrittenVersion
        Configurations written so far.
    slots : int
        Requests that each back end takes at a time, by its entry.
    host_module : str
        Module that runs an entry host.
    trees : dict of str to Path
        Source tree of another build that a host runs, by host name; the working tree by default.
    zones : dict of str to str
        Zones of the hosts and back ends that are not in `ZONE`, by name.
    regions : dict of str to str
        Region of each zone in the hosts' settings; without it they have no regions.
    software : dict of str to str
        Versions of the back ends that are not of version v1, by name.
    """

    directory: Path
    base: dict[str, Any] = field(default_factory=dict)
    versions: list[WrittenVersion] = field(default_factory=list)
    slots: int = 6
    host_module: str = "tarragonwind.platform_start"
    trees: dict[str, Path] = field(default_factory=dict)
    fleet: Fleet = field(init=False)
    ports: dict[str, int] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    store_port: int = 0
    version: int = 0
    starts: dict[str, int] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)
    zones: dict[str, str] = field(default_factory=dict)
    regions: dict[str, str] = field(default_factory=dict)
    software: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.fleet = Fleet(self.directory)

    def __enter__(self) -> PlatformFleet:
        return self

    def __exit__(self, *_args: object) -> None:
        self.fleet.stop()

    def start(self, engines: int, services: int, hosts: int) -> None:
        """Start all processes and wait until every host is ready."""
        self.store_port = self.fleet.start_standin("store", "standins.platform_store").port
        self.configure()
        for number in range(engines):
            self.start_back_end(f"i-engine{number}", "drafting")
        for number in range(services):
            self.start_back_end(f"i-service{number}", "registry")
        self.ports = {name: free_port() for name in ("callers", "ready", "operators")}
        self.ports["peers"], self.ports["metrics"], self.ports["tunnels"] = consecutive_ports(3)
        for number in range(hosts):
            self.addresses[f"front-{number}"] = HOST_ADDRESSES[number]
        for name in self.addresses:
            self.start_host(name)
        for name in self.addresses:
            wait_until(lambda name=name: self.is_ready(name), f"{name} is ready")

    def put(self, key: str, doc: dict[str, Any] | None) -> int:
        """Write or remove a key of the store; return the new revision."""
        value = None if doc is None else json.dumps(doc)
        body = json.dumps({"key": key, "value": value}).encode()
        return int(call(self.store_port, "POST", "/put", body).json()["revision"])

    def zone_of(self, name: str) -> str:
        """Return the zone of a host or a back end."""
        return self.zones.get(name, ZONE)

    def evacuate(self, zone: str, begin: bool = True) -> int:
        """Evacuate a zone, or take its evacuation back; return the new revision."""
        return self.put(f"op/evacuate/{zone}", {} if begin else None)

    def configure(self, **changes: Any) -> None:
        """Write a configuration with a higher version."""
        self.version += 3
        doc = create_configuration(self.version, **merge_changes(self.base, changes))
        timeout_s = min((route["timeoutMs"] for route in doc["routes"]), default=0) / 1_000
        idle_s = doc["limits"]["idleTimeoutMs"] / 1_000
        self.versions.append(WrittenVersion(time.time(), timeout_s, idle_s))
        self.put("op/config", doc)

    def replace_exited_back_end(
        self, name: str, successor: str, pool: str, **faults: Any
    ) -> FleetProcess:
        """Remove the entry of a back end that has exited, and start another one in its place."""
        self.put(f"servers/{name}", None)
        return self.start_back_end(successor, pool, **faults)

    def start_back_end(self, name: str, pool: str, **faults: Any) -> FleetProcess:
        """Start a back end, set its faults and write its entry."""
        journal = str(self.fleet.journal_path(name))
        started = self.fleet.start_standin(
            name, "standins.platform_engine", "--name", name, "--journal", journal
        )
        if faults:
            set_faults(started.port, **faults)
        self.register(name, pool, started.port)
        return started

    def register(
        self, name: str, pool: str, port: int, state: str = "ready", cold_ms: int = 0
    ) -> None:
        """Write a back end's entry to the store; one that was draining has started again."""
        if state == "draining":
            self.draining.add(name)
        elif name in self.draining:
            self.draining.discard(name)
            self.starts[name] = self.starts.get(name, 0) + 1
        doc = {
            "service": pool,
            "address": f"127.0.0.1:{port}",
            "zone": self.zone_of(name),
            "version": self.software.get(name, "v1"),
            "slots": self.slots,
            "state": state,
            "coldMs": cold_ms,
            "sequence": 1,
            "born": FIRST_START_MS + self.starts.get(name, 0),
        }
        self.put(f"servers/{name}", doc)

    def start_host(self, name: str) -> FleetProcess:
        """Start an entry host from a settings document of the platform."""
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(self.host_settings(name)))
        tree = self.trees.get(name)
        environment = {
            **os.environ,
            "TARRAGONWIND_CONFIG": str(path),
            CUT_VARIABLE: str(self.cut_path(name)),
        }
        if tree is not None:
            environment["PYTHONPATH"] = str(tree)
        with open(self.fleet.log_path(name), "ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", self.host_module],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
                cwd=tree,
            )
        started = FleetProcess(name, process, self.ports["callers"])
        self.fleet.processes[name] = started
        return started

    def host_settings(self, name: str) -> dict[str, Any]:
        """Return the settings document of a host."""
        ip = self.addresses[name]
        ports = self.ports
        seeds = [f"{address}:{ports['operators']}" for address in self.addresses.values()]
        return {
            "node": name,
            "role": "entry",
            "ip": ip,
            "zone": self.zone_of(name),
            **self._region_settings(name),
            "listen": {
                "front": f"{ip}:{ports['callers']}",
                "ready": f"{ip}:{ports['ready']}",
                "control": f"{ip}:{ports['operators']}",
            },
            "internalPorts": [ports["peers"], ports["peers"] + 10],
            "seeds": seeds[:3],
            "limits": {"maxFds": 1000, "memoryMb": 300},
            "bounds": {
                "graceS": GRACE_S,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 50,
                "quotaWindowS": 8,
                "quotaOverage": 0.1,
                "quotaSlack": 1000,
            },
            "platform": {"address": f"127.0.0.1:{self.store_port}"},
        }

    def _region_settings(self, name: str) -> dict[str, Any]:
        """Return the fields of a host's settings that name regions."""
        if not self.regions:
            return {}
        return {"region": self.regions[self.zone_of(name)], "zones": dict(self.regions)}

    def cut_path(self, name: str) -> Path:
        """Return the file that tells how a host of `standins.cut_hosts` is cut off."""
        return self.directory / f"{name}.cut"

    def cut(self, name: str, back_ends: Collection[str], how: str) -> None:
        """Cut a host off from back ends; it must run `standins.cut_hosts`."""
        ports = [self.fleet.processes[back_end].port for back_end in back_ends]
        path = self.cut_path(name)
        draft = path.with_suffix(".draft")
        draft.write_text(json.dumps({"ports": ports, "how": how}))
        draft.rename(path)

    def heal(self, name: str) -> None:
        """Let a host that was cut off reach all back ends again."""
        self.cut_path(name).unlink()

    def is_ready(self, name: str) -> bool:
        """Return whether a host's readiness check succeeds."""
        try:
            return self.send_request(name, "ready", "GET", "/readyz").status == 200
        except OSError:
            return False

    def send_request(
        self,
        name: str,
        side: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Any:
        """Send one request to a port of a host, named by its key in `ports`."""
        return call(self.ports[side], method, path, body, headers, host=self.addresses[name])

    def send_caller_request(
        self,
        name: str,
        path: str,
        attempt: str,
        organisation: str = "officina",
        text: str | bytes = b"text",
        **more: str,
    ) -> Any:
        """Send a request to a host as a caller; further keyword arguments become headers.

        `text` is the body of requests that have one.
        """
        headers = {
            "Host": AUTHORITY,
            "Attempt-Id": attempt,
            "Request-Deadline": "4000",
            "Authorization": f"Bearer {KEYS.get(organisation, organisation)}",
            **{key.replace("_", "-"): value for key, value in more.items()},
        }
        method = "GET" if path.startswith("/lookup") else "POST"
        body = text.encode() if isinstance(text, str) else text
        body = b"" if method == "GET" else body
        return self.send_request(name, "callers", method, path, headers, body)

    def journal(self, name: str) -> list[dict[str, Any]]:
        """Return the events of a back end's journal."""
        return read_journal(self.fleet.journal_path(name))


def merge_changes(changes: dict[str, Any], later: dict[str, Any]) -> dict[str, Any]:
    """Return arguments of `create_configuration` with later ones; limits are merged by name."""
    limits = {**changes.get("limits", {}), **later.get("limits", {})}
    return {**changes, **later, "limits": limits}


def create_configuration(
    version: int,
    keys: dict[str, str] | None = None,
    rate: int = 0,
    timeout_ms: int = 3_000,
    limits: dict[str, int] | None = None,
    routes: list[dict[str, Any]] | None = None,
    *,
    tenants: dict[str, list[str]] | None = None,
    tenant_homes: dict[str, list[str]] | None = None,
    added_routes: Collection[str] = (),
    dropped_routes: Collection[str] = (),
    drafting: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Return a configuration document in the platform's form.

    Parameters
    ----------
    version : int
        Version number.
    keys : dict of str
        API key of each tenant.
    rate : int
        Tokens per second and burst of each tenant, 0 for no limit.
    timeout_ms : int
        Timeout of all routes.
    limits : dict of int
        Limits for requests from callers to replace, by name.
    routes : list of dict
        Routes in place of the usual ones; fields that all routes share are added.
    tenants : dict of list
        API keys of each tenant, in place of `keys`.
    tenant_homes : dict of list
        Regions that tenants are kept in, by tenant.
    added_routes, dropped_routes : collection of str
        Names of safe routes to add, whose paths begin with the name, and of routes to leave out.
    drafting : dict
        Fields to add to the service of engines.
    """
    added = [create_plain_route(name, name, "safe", timeout_ms) for name in added_routes]
    kept = [
        {**ROUTE_COMMON, **route}
        for route in [*(routes or create_routes(timeout_ms)), *added]
        if route["name"] not in dropped_routes
    ]
    engine = {"slots": 6, "stride": 5}
    services = [
        {"name": "drafting", "healthPath": "/healthz", "maxConns": 100, "engine": engine}
        | (drafting or {}),
        {"name": "registry", "healthPath": "/healthz", "maxConns": 100},
    ]
    keys_by_tenant = tenants or {name: [key] for name, key in (keys or KEYS).items()}
    return {
        "version": version,
        "routes": kept,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            **(limits or {}),
        },
        "tenants": [
            {**create_tenant(name, held, rate), **home_fields((tenant_homes or {}).get(name))}
            for name, held in keys_by_tenant.items()
        ],
    }


def create_routes(timeout_ms: int) -> list[dict[str, Any]]:
    """Return the routes of `STREAM_PATH`, `LOOKUP_PATH` and `STAMP_PATH`."""
    stream = {
        "name": "r-draft",
        "pathPrefix": "/draft/",
        "kind": "stream",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 400,
        "gapTargetMs": 300,
        "priority": 0,
        "service": "drafting",
        "maxAttempts": 2,
        "streamResume": True,
    }
    return [
        stream,
        create_plain_route("r-lookup", "lookup", "safe", timeout_ms),
        create_plain_route("r-stamp", "stamp", "unsafe", timeout_ms),
    ]


def create_plain_route(name: str, segment: str, kind: str, timeout_ms: int) -> dict[str, Any]:
    """Return a route of plain answers whose paths begin with a segment."""
    return {
        "name": name,
        "pathPrefix": f"/{segment}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": "registry",
        "maxAttempts": 2 if kind == "safe" else 1,
    }


def home_fields(regions: Collection[str] | None) -> dict[str, Any]:
    """Return the fields of a route or tenant that is kept in regions, none without regions."""
    return {"allowedRegions": list(regions)} if regions else {}


def create_tenant(name: str, keys: list[str], rate: int) -> dict[str, Any]:
    """Return a tenant with its API keys."""
    return {
        "name": name,
        "apiKeys": keys,
        "unit": "token_stream",
        "plainTokens": 200,
        "ratePerS": rate,
        "burst": rate,
    }
