"""Emulate the platform's list of live and leaving hosts, which lags behind changes."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

import fire

from standins.servers import StandIn, answer_json, read_json
from tarragonwind.adapters.caller_exchanges import CallerExchange

HOST_FIELDS = ("name", "address", "port", "data_centre")


@dataclass(slots=True)
class Change:
    """Hold one pending change: a host's new fields, or None for its removal."""

    due: float
    name: str
    host: dict[str, Any] | None


class HostListFaults:
    """Hold the host list's faults, set through ``/control``."""

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.away = False
        self.nonsense = False
        self.stopped_updates = False


class HostList(StandIn):
    """Serve the list of hosts, applying each change after a lag.

    ``GET /hosts`` returns the list, ``POST /register`` adds a host, ``POST /leave`` marks a host as
    leaving and ``POST /remove`` removes it. ``POST /control`` sets the faults.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1.
    lag : float
        Delay until a change shows, in seconds.
    """

    def __init__(self, port: int, lag: float = 5.0) -> None:
        self._faults = HostListFaults(lag)
        super().__init__(port, self._faults)
        self._hosts: dict[str, dict[str, Any]] = {}
        self._latest: dict[str, dict[str, Any]] = {}
        self._changes: list[Change] = []
        self.routes["/hosts"] = self._show
        self.routes["/register"] = self._register
        self.routes["/leave"] = self._leave
        self.routes["/remove"] = self._remove

    def _show(self, exchange: CallerExchange) -> None:
        if self._faults.away:
            answer_json(exchange, 503, {"error": "away"})
            return
        if self._faults.nonsense:
            answer_json(exchange, 200, {"hosts": [{"name": 7}, "x"]})
            return
        if not self._faults.stopped_updates:
            self._apply_due()
        hosts = [self._hosts[name] for name in sorted(self._hosts)]
        answer_json(exchange, 200, {"hosts": hosts})

    def _register(self, exchange: CallerExchange) -> None:
        doc = read_json(exchange)
        missing = [field for field in HOST_FIELDS if field not in doc]
        if missing:
            answer_json(exchange, 400, {"error": f"missing {', '.join(missing)}"})
            return
        host = {field: doc[field] for field in HOST_FIELDS}
        host["state"] = "live"
        self._schedule_change(exchange, str(doc["name"]), host)

    def _leave(self, exchange: CallerExchange) -> None:
        name = str(read_json(exchange).get("name"))
        host = self._latest.get(name)
        if host is None:
            answer_json(exchange, 404, {"error": f"no host named {name}"})
            return
        self._schedule_change(exchange, name, {**host, "state": "leaving"})

    def _remove(self, exchange: CallerExchange) -> None:
        self._schedule_change(exchange, str(read_json(exchange).get("name")), None)

    def _schedule_change(
        self, exchange: CallerExchange, name: str, host: dict[str, Any] | None
    ) -> None:
        if host is None:
            self._latest.pop(name, None)
        else:
            self._latest[name] = host
        self._changes.append(Change(time.monotonic() + self._faults.lag_s, name, host))
        answer_json(exchange, 200, {"shows_in_s": self._faults.lag_s})

    def _apply_due(self) -> None:
        now = time.monotonic()
        due = [change for change in self._changes if change.due <= now]
        self._changes = [change for change in self._changes if change.due > now]
        for change in due:
            if change.host is None:
                self._hosts.pop(change.name, None)
            else:
                self._hosts[change.name] = change.host


def main(port: int, lag: float = 5.0) -> None:
    """Run the host list until the process is terminated.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1.
    lag : float
        Delay until a change shows, in seconds.
    """
    HostList(port, lag).run()


if __name__ == "__main__":
    fire.Fire(main)
