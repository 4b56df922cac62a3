"""Define the daemon's settings: one class a section, with default, unit and range of each key."""

from __future__ import annotations

import enum
import ipaddress
from dataclasses import field
from typing import Annotated

from pydantic import AfterValidator, ConfigDict, Field
from pydantic.dataclasses import dataclass

from tarragonwind.ports import Address

SECTION_CONFIG = ConfigDict(extra="forbid")


def _check_ip(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError("not an IP address") from None
    return value


def _check_optional_ip(value: str) -> str:
    return _check_ip(value) if value else value


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
IpAddress = Annotated[str, AfterValidator(_check_ip), Field(description="an IP address")]
OptionalIp = Annotated[
    str, AfterValidator(_check_optional_ip), Field(description="an IP address, or empty")
]
Port = Annotated[int, Field(strict=True, ge=1, le=65_535)]
OptionalPort = Annotated[int, Field(strict=True, ge=0, le=65_535)]
ShortS = Annotated[float, Field(strict=True, ge=0.01, le=60)]
LongS = Annotated[float, Field(strict=True, ge=0.1, le=3_600)]
Count = Annotated[int, Field(strict=True, ge=1, le=1_000_000)]
Fraction = Annotated[float, Field(strict=True, ge=0, le=1)]
Flag = Annotated[bool, Field(strict=True)]
Text = Annotated[str, Field(max_length=4_096)]
Url = Annotated[str, Field(pattern=r"^(https?://[^\s]+)?$")]


class StoreBackend(enum.Enum):
    """Choose where what must last is kept."""

    MEMORY = "memory"
    ETCD = "etcd"
    PLATFORM = "platform"


class LogLevel(enum.Enum):
    """Choose the least severe event that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(enum.Enum):
    """Choose whether a line begins with the time and level."""

    TIMED = "timed"
    BARE = "bare"


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class HostSettings:
    """Name this host.

    Attributes
    ----------
    name : str
        Unique in the fleet.
    data_centre : str
        Data centre that the host stands in.
    cores : float
        Processor that the host has; pools and allotments belong to the largest hosts.
    """

    name: Name
    data_centre: Name
    cores: Annotated[float, Field(gt=0, le=1_000)] = 1.0


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class CallerSettings:
    """Bound what callers may send.

    Attributes
    ----------
    listen_host, listen_port : str, int
        Address that the balancer sends requests to.
    max_header_bytes, max_body_bytes : int
        Largest request head and body, in bytes.
    header_timeout_s, body_timeout_s : float
        Time for a whole head and a whole body, in seconds.
    idle_timeout_s : float
        Time that a kept connection may wait for its next request, in seconds.
    max_connections : int
        Open connections of callers at one time.
    """

    listen_host: IpAddress = "127.0.0.1"
    listen_port: Port = 8080
    max_header_bytes: Annotated[int, Field(strict=True, ge=1_024, le=1_048_576)] = 32_768
    max_body_bytes: Annotated[int, Field(strict=True, ge=1_024, le=67_108_864)] = 4_194_304
    header_timeout_s: LongS = 10.0
    body_timeout_s: LongS = 30.0
    idle_timeout_s: LongS = 60.0
    max_connections: Count = 10_000


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class SeedSettings:
    """Name a host that is asked for the fleet at start.

    Attributes
    ----------
    name : str
        Name of the host.
    host, port : str, int
        Address for other hosts.
    """

    name: Name
    host: IpAddress
    port: Port

    def address(self) -> Address:
        """Return the seed's address."""
        return Address(self.host, self.port)


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class PeerSettings:
    """Tell how hosts reach one another.

    Attributes
    ----------
    listen_host, listen_port : str, int
        Address that other hosts connect to.
    advertised_host : str
        IP address that other hosts are told; empty for `listen_host`.
    secret_file : str
        File with the secret that hosts prove to one another; empty for a single host.
    trusted_network : bool
        Whether hosts take each other without a secret, on a network that only they reach.
    seeds : list of SeedSettings
        Hosts that are asked for the fleet at start.
    """

    listen_host: IpAddress = "127.0.0.1"
    listen_port: Port = 7400
    advertised_host: OptionalIp = ""
    secret_file: Text = ""
    trusted_network: Flag = False
    seeds: list[SeedSettings] = field(default_factory=list)

    def advertised_address(self) -> Address:
        """Return the address that other hosts are told."""
        return Address(self.advertised_host or self.listen_host, self.listen_port)


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class OperatorSettings:
    """Tell where operators and the balancer reach the host.

    Attributes
    ----------
    listen_host, listen_port : str, int
        Address of the operator surface.
    token_file : str
        File with one ``label:token`` a line; empty leaves only the health checks open.
    max_body_bytes : int
        Largest body of an operator's request, in bytes.
    max_connections : int
        Open connections of operators at one time.
    request_timeout_s : float
        Time for a whole request to arrive, in seconds.
    """

    listen_host: IpAddress = "127.0.0.1"
    listen_port: Port = 7401
    token_file: Text = ""
    max_body_bytes: Annotated[int, Field(strict=True, ge=1_024, le=16_777_216)] = 4_194_304
    max_connections: Annotated[int, Field(strict=True, ge=1, le=1_000)] = 64
    request_timeout_s: ShortS = 5.0


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class StatusSettings:
    """Tell where a balancer asks whether the host is ready, and where metrics are read as text.

    Attributes
    ----------
    ready_host, ready_port : str, int
        Address of the question ``GET /readyz``; empty and 0 when only operators ask.
    metrics_host, metrics_port : str, int
        Address of ``GET /metrics``; empty and 0 for none.
    """

    ready_host: OptionalIp = ""
    ready_port: OptionalPort = 0
    metrics_host: OptionalIp = ""
    metrics_port: OptionalPort = 0


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class RetrySettings:
    """Bound repeated dispatches to a pool, over all hosts.

    Attributes
    ----------
    ratio : float
        Repeats for each request.
    window_s : float
        Time over which both are counted, in seconds.
    allowance : float
        Repeats in each window beyond the ratio.
    """

    ratio: Fraction = 0.2
    window_s: LongS = 10.0
    allowance: Annotated[float, Field(ge=0, le=1_000_000)] = 10.0


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class AllotmentSettings:
    """Tell how organisations' allotments of tokens are counted.

    Attributes
    ----------
    window_s : float
        Time over which they are counted, in seconds.
    overage : float
        Part beyond an allotment that is tolerated.
    slack_tokens : float
        Tokens in each window that are tolerated beyond that.
    """

    window_s: LongS = 8.0
    overage: Fraction = 0.0
    slack_tokens: Annotated[float, Field(ge=0, le=1_000_000_000)] = 0.0


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class EndpointSettings:
    """Name one endpoint of the key-value service.

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


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class StoreSettings:
    """Tell where what must last is kept.

    Attributes
    ----------
    backend : StoreBackend
        ``memory`` for a single host, ``etcd`` or ``platform`` for a key-value service.
    endpoints : list of EndpointSettings
        Endpoints of the service, tried in order.
    timeout_s : float
        Time for one call, in seconds.
    prefix : str
        Prefix of every key.
    """

    backend: StoreBackend = StoreBackend.MEMORY
    endpoints: list[EndpointSettings] = field(default_factory=list)
    timeout_s: ShortS = 2.0
    prefix: Annotated[str, Field(pattern=r"^/([a-z0-9/_.-]{0,100}/)?$")] = "/tarragonwind/"


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class HostListSettings:
    """Tell where the platform's list of hosts is read.

    Attributes
    ----------
    host, port : str, int
        Address of the list; empty and 0 when there is none.
    poll_period_s : float
        Time between two reads, in seconds.
    """

    host: OptionalIp = ""
    port: OptionalPort = 0
    poll_period_s: LongS = 5.0

    def address(self) -> Address | None:
        """Return the list's address, or None when there is none."""
        return Address(self.host, self.port) if self.host else None


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class WeightSettings:
    """Tell where the platform's weight store is.

    Attributes
    ----------
    host, port : str, int
        Address of the store; empty and 0 when there is none.
    timeout_s : float
        Time for one call, in seconds.
    loads_per_second : float
        Loads that the store lets begin each second.
    """

    host: OptionalIp = ""
    port: OptionalPort = 0
    timeout_s: ShortS = 5.0
    loads_per_second: Annotated[float, Field(strict=True, gt=0, le=1_000)] = 1.0

    def address(self) -> Address | None:
        """Return the store's address, or None when there is none."""
        return Address(self.host, self.port) if self.host else None


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class UpstreamSettings:
    """Bound the exchanges with upstreams.

    Attributes
    ----------
    connect_timeout_s : float
        Time for a connection, in seconds.
    first_byte_timeout_s : float
        Time from dispatch to the first byte of the answer, in seconds.
    idle_timeout_s : float
        Time between two bytes of an answer, in seconds.
    kept_connections : int
        Idle connections kept for each upstream.
    """

    connect_timeout_s: ShortS = 1.0
    first_byte_timeout_s: LongS = 120.0
    idle_timeout_s: LongS = 60.0
    kept_connections: Annotated[int, Field(strict=True, ge=0, le=1_000)] = 32


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class StopSettings:
    """Bound a planned stop.

    Attributes
    ----------
    notice_s : float
        Time that the host says "not ready" and still takes requests, in seconds.
    grace_s : float
        Time that requests in progress have to end after that, in seconds.
    """

    notice_s: Annotated[float, Field(strict=True, ge=0, le=60)] = 2.0
    grace_s: LongS = 120.0


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class TelemetrySettings:
    """Choose what is measured and where it goes.

    Attributes
    ----------
    otlp_endpoint : str
        Base URL of an OTLP collector over HTTP; empty for none.
    console : bool
        Whether metrics and spans are written to standard output.
    trace_fraction : float
        Share of requests without a trace of the caller's own that are traced, 0 to 1.
    export_period_s : float
        Time between two exports of the metrics, in seconds.
    export_timeout_s : float
        Time for one export, in seconds.
    max_queued_spans : int
        Ended spans that wait for export; more are dropped.
    """

    otlp_endpoint: Url = ""
    console: Flag = False
    trace_fraction: Fraction = 0.01
    export_period_s: LongS = 10.0
    export_timeout_s: ShortS = 2.0
    max_queued_spans: Annotated[int, Field(strict=True, ge=64, le=65_536)] = 2_048


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class LogSettings:
    """Choose what is logged.

    Attributes
    ----------
    level : LogLevel
        Least severe event that is logged.
    format : LogFormat
        ``timed`` begins each line with time and level, ``bare`` leaves that to the collector.
    """

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TIMED


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class LimitSettings:
    """Bound what waits in this host.

    Attributes
    ----------
    max_waiting_requests : int
        Requests that wait for a permit at one time.
    max_waiting_bytes : int
        Bytes of the bodies of waiting requests.
    max_in_progress : int
        Requests that are dispatched and not ended.
    """

    max_waiting_requests: Count = 10_000
    max_waiting_bytes: Annotated[int, Field(strict=True, ge=1_048_576, le=1_073_741_824)] = (
        67_108_864
    )
    max_in_progress: Count = 10_000


@dataclass(slots=True, config=SECTION_CONFIG, kw_only=True)
class Settings:
    """Hold the settings of one daemon.

    Attributes
    ----------
    host : HostSettings
        Name and place of the host; the only section without defaults.
    callers, peers, operators : CallerSettings, PeerSettings, OperatorSettings
        The three listening sides.
    status : StatusSettings
        What balancers and monitoring ask.
    store, host_list, weights, upstreams : object
        The outside systems.
    retries, allotments : RetrySettings, AllotmentSettings
        What hosts keep to together.
    stop, telemetry, log, limits : object
        The daemon itself.
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
