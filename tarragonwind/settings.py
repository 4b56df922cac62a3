"""Define the daemon's settings, one class for each section, with defaults and allowed ranges."""

from __future__ import annotations

import enum
from dataclasses import field
from typing import Annotated

from tarragonwind.checked_records import Bounds, Checked, CheckedRecord
from tarragonwind.core.ip_addresses import check_ip_address
from tarragonwind.ports import Address
from tarragonwind.records import dataclass


def _check_optional_ip(value: str) -> str:
    return check_ip_address(value) if value else value


Name = Annotated[str, Bounds(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
IpAddress = Annotated[str, Checked(check_ip_address), Bounds(description="an IP address")]
OptionalIp = Annotated[
    str, Checked(_check_optional_ip), Bounds(description="an IP address, or empty")
]
Port = Annotated[int, Bounds(strict=True, ge=1, le=65_535)]
OptionalPort = Annotated[int, Bounds(strict=True, ge=0, le=65_535)]
ShortSeconds = Annotated[float, Bounds(strict=True, ge=0.01, le=60)]
LongSeconds = Annotated[float, Bounds(strict=True, ge=0.1, le=3_600)]
Count = Annotated[int, Bounds(strict=True, ge=1, le=1_000_000)]
Fraction = Annotated[float, Bounds(strict=True, ge=0, le=1)]
Flag = Annotated[bool, Bounds(strict=True)]
Text = Annotated[str, Bounds(max_length=4_096)]
Url = Annotated[str, Bounds(pattern=r"^(https?://[^\s]+)?$")]


class StoreBackend(enum.Enum):
    """Select the backend that persists the catalogue and other durable state."""

    MEMORY = "memory"
    ETCD = "etcd"
    PLATFORM = "platform"


class LogLevel(enum.Enum):
    """Select the minimum severity of logged events."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.Enum):
    """Select whether log lines begin with time and level."""

    TIMED = "timed"
    BARE = "bare"


@dataclass(slots=True, kw_only=True)
class HostSettings(CheckedRecord):
    """Identify this host.

    Attributes
    ----------
    name : str
        Name of the host, unique in the fleet.
    data_centre : str
        Data centre in which the host runs.
    cores : float
        Processor cores of the host; pools and allotments are owned by the largest hosts.
    regions : dict of str to str
        Region of each data centre; requests that are kept in some regions go to no upstream in a
        data centre that is missing here.
    """

    name: Name
    data_centre: Name
    cores: Annotated[float, Bounds(gt=0, le=1_000)] = 1.0
    regions: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class CallerSettings(CheckedRecord):
    """Configure the caller listener and limit what callers may send.

    Attributes
    ----------
    listen_host, listen_port : str, int
        Address that the balancer sends requests to.
    max_header_bytes, max_body_bytes : int
        Maximum size of a request head and of a body, in bytes.
    header_timeout_s, body_timeout_s : float
        Timeout for receiving a complete head and a complete body, in seconds.
    idle_timeout_s : float
        Time that a keep-alive connection may be idle between requests, in seconds.
    max_connections : int
        Maximum number of open caller connections.
    address_share : float
        Part of them that one caller address may have.
    min_bytes_per_second : float
        Least rate at which a body must come and a buffered response must be read, 0 for none.
    congestion_timeout_s : float
        Time that a caller may read nothing of a response whose buffer is full, in seconds.
    """

    listen_host: IpAddress = "127.0.0.1"
    listen_port: Port = 8080
    max_header_bytes: Annotated[int, Bounds(strict=True, ge=1_024, le=1_048_576)] = 32_768
    max_body_bytes: Annotated[int, Bounds(strict=True, ge=1_024, le=67_108_864)] = 4_194_304
    header_timeout_s: LongSeconds = 10.0
    body_timeout_s: LongSeconds = 30.0
    idle_timeout_s: LongSeconds = 60.0
    max_connections: Count = 10_000
    address_share: Annotated[float, Bounds(strict=True, gt=0, le=1)] = 0.75
    min_bytes_per_second: Annotated[float, Bounds(strict=True, ge=0, le=1_000_000)] = 1_024.0
    congestion_timeout_s: LongSeconds = 4.0


@dataclass(slots=True, kw_only=True)
class SeedSettings(CheckedRecord):
    """Configure a seed host, contacted at start to join the fleet.

    Attributes
    ----------
    name : str
        Name of the host.
    host, port : str, int
        Address on which the seed listens for other hosts.
    """

    name: Name
    host: IpAddress
    port: Port

    def address(self) -> Address:
        """Return the seed's address."""
        return Address(self.host, self.port)


@dataclass(slots=True, kw_only=True)
class PeerSettings(CheckedRecord):
    """Configure the transport between hosts.

    Attributes
    ----------
    listen_host, listen_port : str, int
        Address that other hosts connect to.
    advertised_host : str
        IP address advertised to other hosts; empty for `listen_host`.
    secret_file : str
        File with the shared secret by which hosts authenticate; empty for a single host.
    trusted_network : bool
        Whether hosts accept each other without a secret, on a network that only they reach.
    seeds : list of SeedSettings
        Hosts contacted at start to join the fleet.
    """

    listen_host: IpAddress = "127.0.0.1"
    listen_port: Port = 7400
    advertised_host: OptionalIp = ""
    secret_file: Text = ""
    trusted_network: Flag = False
    seeds: list[SeedSettings] = field(default_factory=list)

    def advertised_address(self) -> Address:
        """Return the address advertised to other hosts."""
        return Address(self.advertised_host or self.listen_host, self.listen_port)


@dataclass(slots=True, kw_only=True)
class OperatorSettings(CheckedRecord):
    """Configure the operator API, which also serves health checks to the balancer.

    Attributes
    ----------
    listen_host, listen_port : str, int
        Address of the operator API.
    token_file : str
        File with one ``label:token`` on each line; empty serves only the health checks.
    max_body_bytes : int
        Maximum size of a request body, in bytes.
    max_connections : int
        Maximum number of open operator connections.
    request_timeout_s : float
        Timeout for receiving a complete request, in seconds.
    """

    listen_host: IpAddress = "127.0.0.1"
    listen_port: Port = 7401
    token_file: Text = ""
    max_body_bytes: Annotated[int, Bounds(strict=True, ge=1_024, le=16_777_216)] = 4_194_304
    max_connections: Annotated[int, Bounds(strict=True, ge=1, le=1_000)] = 64
    request_timeout_s: ShortSeconds = 5.0


@dataclass(slots=True, kw_only=True)
class StatusSettings(CheckedRecord):
    """Configure the separate listeners for readiness checks and for metrics in text format.

    Attributes
    ----------
    ready_host, ready_port : str, int
        Address of ``GET /readyz``; empty and 0 to serve it only on the operator API.
    metrics_host, metrics_port : str, int
        Address of ``GET /metrics``; empty and 0 for none.
    """

    ready_host: OptionalIp = ""
    ready_port: OptionalPort = 0
    metrics_host: OptionalIp = ""
    metrics_port: OptionalPort = 0


@dataclass(slots=True, kw_only=True)
class RetrySettings(CheckedRecord):
    """Limit retries to a pool, summed over all hosts.

    Attributes
    ----------
    ratio : float
        Retries allowed for each request.
    window_s : float
        Window over which retries and requests are counted, in seconds.
    allowance : float
        Retries allowed in each window beyond the ratio.
    """

    ratio: Fraction = 0.2
    window_s: LongSeconds = 10.0
    allowance: Annotated[float, Bounds(ge=0, le=1_000_000)] = 10.0


@dataclass(slots=True, kw_only=True)
class AllotmentSettings(CheckedRecord):
    """Configure how the token allotments of organisations are counted.

    Attributes
    ----------
    window_s : float
        Window over which tokens are counted, in seconds.
    overage : float
        Tolerated excess over an allotment, as a fraction of it.
    slack_tokens : float
        Tokens tolerated in each window beyond the overage.
    """

    window_s: LongSeconds = 8.0
    overage: Fraction = 0.0
    slack_tokens: Annotated[float, Bounds(ge=0, le=1_000_000_000)] = 0.0


@dataclass(slots=True, kw_only=True)
class EndpointSettings(CheckedRecord):
    """Configure one endpoint of the key-value service.

    Attributes
    ----------
    host, port : str, int
        Address of its JSON gateway.
    """

    host: IpAddress
    port: Port

    def address(self) -> Address:
        """Return the endpoint's address."""
        return Address(self.host, self.port)


@dataclass(slots=True, kw_only=True)
class StoreSettings(CheckedRecord):
    """Configure the store that persists the catalogue and other durable state.

    Attributes
    ----------
    backend : StoreBackend
        ``memory`` for a single host, ``etcd`` or ``platform`` for a key-value service.
    endpoints : list of EndpointSettings
        Endpoints of the service, tried in order.
    timeout_s : float
        Timeout of one call, in seconds.
    prefix : str
        Prefix of all keys.
    """

    backend: StoreBackend = StoreBackend.MEMORY
    endpoints: list[EndpointSettings] = field(default_factory=list)
    timeout_s: ShortSeconds = 2.0
    prefix: Annotated[str, Bounds(pattern=r"^/([a-z0-9/_.-]{0,100}/)?$")] = "/tarragonwind/"


@dataclass(slots=True, kw_only=True)
class HostListSettings(CheckedRecord):
    """Configure where the platform's list of hosts is read.

    Attributes
    ----------
    host, port : str, int
        Address of the list; empty and 0 when there is none.
    poll_period_s : float
        Interval between two reads, in seconds.
    """

    host: OptionalIp = ""
    port: OptionalPort = 0
    poll_period_s: LongSeconds = 5.0

    def address(self) -> Address | None:
        """Return the list's address, or None when there is none."""
        return Address(self.host, self.port) if self.host else None


@dataclass(slots=True, kw_only=True)
class WeightSettings(CheckedRecord):
    """Configure access to the platform's store of model weights.

    Attributes
    ----------
    host, port : str, int
        Address of the store; empty and 0 when there is none.
    timeout_s : float
        Timeout of one call, in seconds.
    loads_per_second : float
        Weight loads that the store allows to start in each second.
    """

    host: OptionalIp = ""
    port: OptionalPort = 0
    timeout_s: ShortSeconds = 5.0
    loads_per_second: Annotated[float, Bounds(strict=True, gt=0, le=1_000)] = 1.0

    def address(self) -> Address | None:
        """Return the store's address, or None when there is none."""
        return Address(self.host, self.port) if self.host else None


@dataclass(slots=True, kw_only=True)
class UpstreamSettings(CheckedRecord):
    """Configure timeouts and connection reuse towards upstreams.

    Attributes
    ----------
    connect_timeout_s : float
        Timeout for opening a connection, in seconds.
    tunnel_port : int
        Port at which a host passes connections to upstreams on for hosts that are cut off from
        them, the same on all hosts; only on a trusted network, 0 for any free port.
    first_byte_timeout_s : float
        Timeout from dispatch to the first byte of the response, in seconds.
    idle_timeout_s : float
        Longest time between two bytes of a response, and between the ends of two events of an event
        stream, in seconds.
    kept_connections : int
        Maximum number of idle connections kept open to each upstream.
    cold_overage, cold_slack : float
        Requests that may arrive at a cold upstream within one second, from all hosts together: its
        rate times `cold_overage`, plus `cold_slack`.
    evacuate_s : float
        Time from the store's acknowledgement of an evacuation until no host sends anything new to
        the upstreams of that data centre, in seconds.
    """

    connect_timeout_s: ShortSeconds = 1.0
    tunnel_port: OptionalPort = 0
    first_byte_timeout_s: LongSeconds = 120.0
    idle_timeout_s: LongSeconds = 60.0
    kept_connections: Annotated[int, Bounds(strict=True, ge=0, le=1_000)] = 32
    cold_overage: Annotated[float, Bounds(strict=True, ge=0, le=10)] = 1.5
    cold_slack: Annotated[float, Bounds(strict=True, ge=0, le=1_000)] = 5.0
    evacuate_s: Annotated[float, Bounds(strict=True, ge=0.1)] = 5.0


@dataclass(slots=True, kw_only=True)
class StopSettings(CheckedRecord):
    """Configure the graceful shutdown.

    Attributes
    ----------
    notice_s : float
        Time during which the host reports not ready and still accepts requests, in seconds.
    grace_s : float
        Time allowed after the notice for requests in progress to end, in seconds.
    """

    notice_s: Annotated[float, Bounds(strict=True, ge=0, le=60)] = 2.0
    grace_s: LongSeconds = 120.0


@dataclass(slots=True, kw_only=True)
class TelemetrySettings(CheckedRecord):
    """Configure the sampling and the export of metrics and traces.

    Attributes
    ----------
    otlp_endpoint : str
        Base URL of an OTLP collector over HTTP; empty for none.
    console : bool
        Whether metrics and spans are written to standard output.
    trace_fraction : float
        Fraction of requests traced among those without a caller's trace context, 0 to 1.
    export_period_s : float
        Interval between two exports of the metrics, in seconds.
    export_timeout_s : float
        Timeout of one export, in seconds.
    max_queued_spans : int
        Maximum number of ended spans queued for export; further spans are dropped.
    """

    otlp_endpoint: Url = ""
    console: Flag = False
    trace_fraction: Fraction = 0.01
    export_period_s: LongSeconds = 10.0
    export_timeout_s: ShortSeconds = 2.0
    max_queued_spans: Annotated[int, Bounds(strict=True, ge=64, le=65_536)] = 2_048


@dataclass(slots=True, kw_only=True)
class LogSettings(CheckedRecord):
    """Configure the log.

    Attributes
    ----------
    level : LogLevel
        Minimum severity of logged events.
    format : LogFormat
        ``timed`` begins each line with time and level; ``bare`` leaves both to the collector.
    """

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TIMED


@dataclass(slots=True, kw_only=True)
class LimitSettings(CheckedRecord):
    """Limit the requests waiting and in progress on this host.

    Attributes
    ----------
    max_waiting_requests : int
        Maximum number of requests waiting for a permit.
    max_waiting_bytes : int
        Maximum total size of the bodies of waiting requests, in bytes.
    max_in_progress : int
        Maximum number of requests dispatched and not ended.
    memory_bytes : int
        Memory that the process may use, in bytes.
    """

    max_waiting_requests: Count = 10_000
    max_waiting_bytes: Annotated[int, Bounds(strict=True, ge=1_048_576, le=1_073_741_824)] = (
        67_108_864
    )
    max_in_progress: Count = 10_000
    memory_bytes: Annotated[int, Bounds(strict=True, ge=134_217_728, le=1_099_511_627_776)] = (
        200_000_000
    )


@dataclass(slots=True, kw_only=True)
class Settings(CheckedRecord):
    """Configure one daemon.

    Attributes
    ----------
    host : HostSettings
        Identity of the host; the only section without defaults.
    callers, peers, operators : CallerSettings, PeerSettings, OperatorSettings
        The listeners for callers, other hosts and operators.
    status : StatusSettings
        Listeners for readiness checks and metrics.
    store, host_list, weights, upstreams : object
        External systems.
    retries, allotments : RetrySettings, AllotmentSettings
        Limits enforced over all hosts together.
    stop, telemetry, log, limits : object
        Shutdown, telemetry, log and local limits of the daemon.
    """

    host: HostSettings
    callers: CallerSettings = field(default_factory=CallerSettings)
    peers: PeerSettings = field(default_factory=PeerSettings)
    operators: OperatorSettings = field(default_factory=OperatorSettings)
    status: StatusSettings = field(default_factory=StatusSettings)
    store: StoreSettings = field(default_factory=StoreSettings)
    host_list: HostListSettings = field(default_factory=HostListSettings)
    weights: WeightSettings = field(default_factory=WeightSettings)
    upstreams: UpstreamSettings = field(default_factory=UpstreamSettings)
    retries: RetrySettings = field(default_factory=RetrySettings)
    allotments: AllotmentSettings = field(default_factory=AllotmentSettings)
    stop: StopSettings = field(default_factory=StopSettings)
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
    log: LogSettings = field(default_factory=LogSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
