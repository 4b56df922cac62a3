"""Inject the faults of a schedule into the processes of a soak run."""

from __future__ import annotations

import json
import random
import signal
import sys
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field
from functools import partial
from operator import itemgetter

from soak.callers import (
    CRASHING_PART,
    CRASHING_SHAPES,
    PAUSE_S,
    SURGE_SHAPES,
    LoadWorker,
    RequestShape,
)
from soak.configuration_changes import generate_series
from soak.crashing_requests import (
    CRASHING_BODY,
    CRASHING_TENANT,
    create_crashing_shapes,
    create_sound_shapes,
)
from soak.evacuations import ZONES, ZoneEvacuations
from soak.histories import Disturbance
from soak.schedules import Fault, Targets, generate_faults
from standins.fleets import FleetError, call, free_port, set_faults
from standins.platform_engine import CRASH_EXIT_CODE
from standins.platform_fleets import PlatformFleet

DISTURBED_AFTER_START_S = 2.0
"""Time that a host takes to be ready after its start, in seconds."""
HOST_KINDS = frozenset(["kill_host", "stop_host", "pause_host"])
CRASHING_PAUSE_S = 0.4
"""Longest pause between two crashing prompts, in seconds."""
SOUND_PAUSE_S = 0.05
"""Longest pause between two sound requests beside a crashing one, in seconds."""
CRASHING_PREFIXES = ("/lookup/", "/stamp/")
"""Prefixes of the path of the request that crashes back ends, by seed."""
SURGE_CALLERS = 32
LIMIT_PER_S = 4.0
RESET_S = 0.1
"""Time after which a link has reset its connections, in seconds."""
SILENCE_S = 1.2
"""Time for which a sound back end falls silent, in seconds."""
EVENTS_BEFORE_SILENCE = 3

EndFault = Callable[[], None]


@dataclass(slots=True)
class FaultInjector:
    """Start the back ends of one seed, and inject its faults into all processes.

    `Fault.kind` is the name of the method that injects the fault; the method returns a function
    that ends the fault, or None.
    """

    seed: int
    seconds: float
    site: PlatformFleet
    pools: dict[str, str] = field(default_factory=dict)
    links: dict[str, int] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    active_faults: list[tuple[float, EndFault]] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    resets: list[Disturbance] = field(default_factory=list)
    more_callers: list[LoadWorker] = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)
    evacuations: ZoneEvacuations = field(init=False)

    def __post_init__(self) -> None:
        self.evacuations = ZoneEvacuations(self.site)

    def start_back_end(self, name: str, pool: str) -> None:
        """Start a back end behind a fault proxy, and register the proxy's address."""
        in_pool = sum(other == pool for other in self.pools.values())
        self.site.zones[name] = ZONES[in_pool % len(ZONES)]
        self.ports[name] = free_port()
        self.start_engine_process(name, self.ports[name], {})
        self.pools[name] = pool
        proxy_port = free_port()
        link = self.site.fleet.start_standin(
            f"link-{name}",
            "standins.fault_proxy",
            "--listen",
            f"127.0.0.1:{proxy_port}",
            "--target",
            f"127.0.0.1:{self.ports[name]}",
        )
        self.links[name] = link.port
        self.ports[f"proxy-{name}"] = proxy_port
        self.site.register(name, pool, proxy_port)

    def start_engine_process(self, name: str, port: int, faults: Mapping[str, object]) -> None:
        """Start the process of a back end with faults and wait until it listens at a port."""
        crashing = {
            "crashing_part": CRASHING_PART,
            "crashing_body": CRASHING_BODY,
            "crashing_path": f"{self.crashing_prefix}7",
            "crashing_tenant": CRASHING_TENANT,
        }
        values = {"journal": self.site.fleet.journal_path(name), **crashing, **faults}
        options = [f"--{option}={value}" for option, value in values.items()]
        arguments = ["-m", "standins.platform_engine", "--port", str(port), "--name", name]
        started = self.site.fleet.spawn(name, [*arguments, *options], port)
        self.site.fleet.wait_for_port(started, port)

    def inject_faults(self) -> None:
        """Start and end each fault at its scheduled time."""
        names = tuple(self.pools)
        faults = generate_faults(
            self.seed, self.seconds, Targets(tuple(self.site.addresses), names, names, ZONES)
        )
        started_at = time.monotonic()
        for fault in faults:
            self.wait_until(started_at + fault.at_s)
            print(f"seed={self.seed} " + json.dumps(asdict(fault)), file=sys.stderr)
            begin = time.time()
            end_fault = getattr(self, fault.kind)(fault)
            if end_fault is not None:
                end_fault = self.record_disturbance(fault, begin, end_fault)
                self.active_faults.append((time.monotonic() + fault.for_s, end_fault))
        self.wait_until(time.monotonic() + max(0.0, started_at + self.seconds - time.monotonic()))
        for _, end_fault in sorted(self.active_faults, key=itemgetter(0)):
            end_fault()
        self.active_faults.clear()

    def record_disturbance(self, fault: Fault, begin: float, end_fault: EndFault) -> EndFault:
        """Return a function that ends a fault and records whom it disturbed, and for how long."""
        if fault.kind not in HOST_KINDS and not fault.kind.startswith(("store_", "link_")):
            return end_fault
        started_s = DISTURBED_AFTER_START_S if fault.kind in HOST_KINDS else 0.0

        def end() -> None:
            end_fault()
            planned = fault.kind == "stop_host"
            self.disturbances.append(
                Disturbance(fault.target, begin, time.time() + started_s, planned)
            )

        return end

    def wait_until(self, end: float) -> None:
        """Sleep until a point in time, ending the faults that are due."""
        while True:
            now = time.monotonic()
            self.restart_crashed_back_ends()
            past = [fault for fault in self.active_faults if fault[0] <= now]
            for due, end_fault in sorted(past, key=itemgetter(0)):
                self.active_faults.remove((due, end_fault))
                end_fault()
            if now >= end:
                return
            time.sleep(0.02)

    def restart_crashed_back_ends(self) -> None:
        """Start back ends again that have exited under a crashing request."""
        for name in self.pools:
            if self.site.fleet.processes[name].process.poll() is not None:
                self.restart_back_end_process(name, {})

    def restart_back_end_process(self, name: str, faults: Mapping[str, object]) -> None:
        """Start a back end that has exited again, at its old port and with faults."""
        self.site.put(f"servers/{name}", None)
        try:
            self.start_engine_process(name, self.ports[name], faults)
        except FleetError:
            if self.site.fleet.processes[name].process.poll() != CRASH_EXIT_CODE:
                raise
        self.site.starts[name] = self.site.starts.get(name, 0) + 1
        self.site.register(name, self.pools[name], self.ports[f"proxy-{name}"])

    def host_restarter(self, name: str) -> EndFault:
        """Return a function that restarts a host after its process has exited."""
        running = self.site.fleet.processes[name]

        def start() -> None:
            if self.site.fleet.processes[name] is not running:
                # Two faults hit the same process, and the first one has restarted it already.
                return
            if running.process.poll() is None:
                # A later fault may have suspended the stopping process, which would never exit.
                running.resume()
            running.process.wait(15)
            self.site.start_host(name)

        return start

    def kill_host(self, fault: Fault) -> EndFault | None:
        """Kill a running host."""
        running = self.site.fleet.processes[fault.target]
        if running.process.poll() is not None:
            return None
        running.resume()
        running.kill()
        return self.host_restarter(fault.target)

    def stop_host(self, fault: Fault) -> EndFault | None:
        """Request a graceful stop of a host."""
        running = self.site.fleet.processes[fault.target]
        if running.process.poll() is not None:
            return None
        running.process.send_signal(signal.SIGTERM)
        # An earlier fault may have suspended the host, which would never exit.
        running.resume()
        return self.host_restarter(fault.target)

    def pause_host(self, fault: Fault) -> EndFault | None:
        """Suspend a host."""
        running = self.site.fleet.processes[fault.target]
        if running.process.poll() is not None:
            return None
        running.pause()
        return lambda: running.process.send_signal(signal.SIGCONT)

    def control(self, port: int, **faults: object) -> None:
        """Set faults of a stand-in; one that a request has just crashed starts with them."""
        try:
            set_faults(port, **faults)
        except OSError:
            name = next((name for name, one in self.ports.items() if one == port), "")
            if name not in self.pools:
                raise
            self.site.fleet.processes[name].process.wait(5)
            self.restart_back_end_process(name, faults)

    def set_fault(self, port: int, name: str, value: object, after: object) -> EndFault:
        """Set a fault of a stand-in and return a function that resets it."""
        self.control(port, **{name: value})
        return lambda: self.control(port, **{name: after})

    def silent(self, fault: Fault) -> EndFault:
        """Make a back end accept requests without answering."""
        return self.set_fault(self.ports[fault.target], "silent", True, False)

    def fall_silent(self, fault: Fault) -> EndFault:
        """Let a sound back end fall silent in its streams and before plain answers, and go on."""
        port = self.ports[fault.target]
        self.control(port, pause_s=SILENCE_S, pause_after_events=EVENTS_BEFORE_SILENCE)
        return lambda: self.control(port, pause_s=0.0, pause_after_events=0)

    def cut_streams(self, fault: Fault) -> EndFault:
        """Make a back end abort its streams in the middle of an event."""
        return self.set_fault(self.ports[fault.target], "cut_after_events", 4, 0)

    def unframed(self, fault: Fault) -> EndFault:
        """Make a back end send streams that only the end of their connection completes."""
        return self.set_fault(self.ports[fault.target], "unframed", True, False)

    def break_off_streams(self, fault: Fault) -> EndFault:
        """Make a back end close its unframed streams in the middle of an event."""
        self.control(self.ports[fault.target], unframed=True, orderly_cut=True, cut_after_events=4)
        return lambda: self.control(
            self.ports[fault.target], unframed=False, orderly_cut=False, cut_after_events=0
        )

    def announce_leaving(self, fault: Fault) -> EndFault:
        """Let a back end announce in its answers that it is leaving, then start again."""
        name = fault.target
        proxy_port = self.ports[f"proxy-{name}"]
        self.control(self.ports[name], leaving=True)

        def start_again() -> None:
            self.control(self.ports[name], leaving=False)
            self.site.draining.add(name)
            self.site.register(name, self.pools[name], proxy_port)

        return start_again

    def want_pause(self, fault: Fault) -> EndFault:
        """Make a back end turn requests away and ask each host for a pause."""
        return self.set_fault(self.ports[fault.target], "hold_s", 1.5, 0.0)

    def surge(self, fault: Fault) -> EndFault:
        """Send more streams than there are slots, so that some of them wait or are refused."""
        stopped = threading.Event()
        for _ in range(SURGE_CALLERS):
            self.start_caller(stopped, SURGE_SHAPES, PAUSE_S)
        return stopped.set

    def crash_prompts(self, fault: Fault) -> EndFault:
        """Send prompts with a part that ends each back end which begins to answer."""
        stopped = threading.Event()
        self.start_caller(stopped, CRASHING_SHAPES, CRASHING_PAUSE_S)
        return stopped.set

    def crash_requests(self, fault: Fault) -> EndFault:
        """Send one request again and again that ends each back end which begins to run it.

        Sound requests with the same path, body or caller are sent from then on.
        """
        stopped = threading.Event()
        crashing = create_crashing_shapes(self.crashing_prefix)
        self.start_caller(stopped, crashing, CRASHING_PAUSE_S)
        sound = create_sound_shapes(self.crashing_prefix)
        self.start_caller(self.stopped, sound, SOUND_PAUSE_S)
        return stopped.set

    @property
    def crashing_prefix(self) -> str:
        """Return the prefix of the path of the request that crashes back ends."""
        return CRASHING_PREFIXES[self.seed % len(CRASHING_PREFIXES)]

    def start_caller(
        self, stopped: threading.Event, shapes: Mapping[str, RequestShape], pause_s: float
    ) -> None:
        """Start a caller beside the load."""
        number = len(self.more_callers)
        name, rng = f"s{self.seed}-p{number}", random.Random(self.seed - number)
        caller = LoadWorker(self.site, name, rng, stopped, shapes=shapes, pause_s=pause_s)
        self.more_callers.append(caller)
        threading.Thread(target=caller.run, daemon=True).start()

    def name_limit(self, fault: Fault) -> EndFault:
        """Make a back end name a limit of requests in its answers."""
        return self.set_fault(self.ports[fault.target], "limit_per_s", LIMIT_PER_S, 0.0)

    def endless(self, fault: Fault) -> EndFault:
        """Make a back end send failures and events without end."""
        return self.set_fault(self.ports[fault.target], "endless", True, False)

    def fail(self, fault: Fault) -> EndFault:
        """Make a back end answer with status 500."""
        return self.set_fault(self.ports[fault.target], "fail", True, False)

    def full(self, fault: Fault) -> EndFault:
        """Make a back end refuse requests as overloaded."""
        return self.set_fault(self.ports[fault.target], "full", True, False)

    def drain(self, fault: Fault) -> EndFault:
        """Mark a back end's entry as draining, then as ready again."""
        name = fault.target
        proxy_port = self.ports[f"proxy-{name}"]
        self.site.register(name, self.pools[name], proxy_port, state="draining")
        return lambda: self.site.register(name, self.pools[name], proxy_port)

    def evacuate(self, fault: Fault) -> EndFault:
        """Evacuate a zone, then take it back."""
        self.evacuations.begin(fault.target)
        return lambda: self.evacuations.end(fault.target)

    def restart_back_end(self, fault: Fault) -> EndFault:
        """Remove a back end's entry, then register it again."""
        name = fault.target
        self.site.put(f"servers/{name}", None)
        proxy_port = self.ports[f"proxy-{name}"]
        return lambda: self.site.register(name, self.pools[name], proxy_port)

    def link_reset(self, fault: Fault) -> EndFault | None:
        """Reset all connections of a proxy."""
        begin = time.time()
        set_faults(self.links[fault.target], cut=random.getrandbits(30))
        self.resets.append(Disturbance(fault.target, begin, time.time() + RESET_S))
        return None

    def link_black_hole(self, fault: Fault) -> EndFault:
        """Make a proxy read data without forwarding it."""
        return self.set_fault(self.links[fault.target], "black_hole", True, False)

    def link_frozen(self, fault: Fault) -> EndFault:
        """Stop forwarding on the open connections of a proxy."""
        return self.set_fault(self.links[fault.target], "half_open", True, False)

    def link_slow(self, fault: Fault) -> EndFault:
        """Add latency to a proxy."""
        return self.set_fault(self.links[fault.target], "latency_ms", 150.0, 0.0)

    def link_cut_answers(self, fault: Fault) -> EndFault:
        """Make a proxy reset connections in the middle of a response."""
        return self.set_fault(self.links[fault.target], "cut_after_bytes", 250, 0)

    def store_away(self, fault: Fault) -> EndFault:
        """Make the store refuse all calls."""
        return self.set_fault(self.site.store_port, "away", True, False)

    def store_silent(self, fault: Fault) -> EndFault:
        """Make the store accept calls without answering."""
        return self.set_fault(self.site.store_port, "silent", True, False)

    def store_loses_answers(self, fault: Fault) -> EndFault:
        """Make the store apply transactions but drop the answers."""
        return self.set_fault(self.site.store_port, "lose_answers", True, False)

    def store_forgets(self, fault: Fault) -> EndFault:
        """Make the store reject watches as if it had compacted its history."""
        return self.set_fault(self.site.store_port, "forgotten_before", 10**9, 0)

    def store_goes_back(self, fault: Fault) -> EndFault:
        """Let the store come back from a copy as old as the fault is long, in a new era."""
        call(self.site.store_port, "POST", "/copy")

        def restore() -> None:
            call(self.site.store_port, "POST", "/restore")

        return restore

    def configure(self, fault: Fault) -> None:
        """Write versions of the configuration in series; the last one restores all fields."""
        rng = random.Random(f"{self.seed}-{fault.at_s}")
        due = time.monotonic()
        for gap_s, changes in generate_series(rng):
            due += gap_s
            self.active_faults.append((due, partial(self.site.configure, **changes)))
