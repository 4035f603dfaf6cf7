"""Settings of the entry daemon: types, defaults and validation."""

import enum
import ipaddress
import pathlib
import tomllib
import typing

import msgspec
from nutmegshelf import decoding, exceptions, faults, ids

Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Positive = typing.Annotated[int, msgspec.Meta(ge=1)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0)]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
NonEmptyText = typing.Annotated[str, msgspec.Meta(min_length=1)]


class LogLevel(enum.Enum):
    """Minimum level of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"
    CRITICAL = "critical"


class _Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    pass


class Listener(_Settings, frozen=True, kw_only=True):
    """Address that a socket listens on; port 0 selects any free port."""

    host: str = "127.0.0.1"
    port: Port = 0


class Operators(_Settings, frozen=True, kw_only=True):
    """Address of the operators' interface and its bearer token."""

    host: str = "127.0.0.1"
    port: Port = 0
    token: str = ""


class Platform(_Settings, frozen=True, kw_only=True):
    """Address of the platform's services and the time limit of calls to them."""

    host: NonEmptyText
    port: Port
    timeout_s: Seconds = 2.0


class Settings(_Settings, frozen=True, kw_only=True):
    """All settings of one entry."""

    entry: typing.Annotated[ids.EntryId, msgspec.Meta(min_length=1)]
    zone: typing.Annotated[ids.ZoneName, msgspec.Meta(min_length=1)]
    platform: Platform
    callers: Listener = Listener()
    operators: Operators = Operators()
    peers: Listener = Listener()
    seats: Positive = 10
    seat_interval_s: Seconds = 2.0
    seat_lease_s: Seconds = 8.0
    seat_silence_limit_s: Seconds = 900.0
    heartbeat_interval_s: Seconds = 1.0
    poll_interval_s: Seconds = 1.0
    push: bool = True
    collect_interval_s: Seconds = 300.0
    fleet_interval_s: Seconds = 0.5
    probe_path: str = "/health"
    pool_lease_s: Seconds = 10.0
    pool_rescan_s: Seconds = 30.0
    max_connections: Positive = 4096
    shutdown_grace_s: Seconds = 2.0
    drain_timeout_s: Seconds = 30.0
    trace_fraction: Fraction = 0.01
    trace_exporter: typing.Literal["none", "log"] = "none"
    log_level: LogLevel = LogLevel.INFO
    seed: int | None = None


def load(path: pathlib.Path) -> Settings:
    """Read a settings file; raises DeclarationError that lists every fault by file and field."""
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        fault = faults.Fault(
            file=str(path), field="(whole file)", wrong=str(error), remedy="write valid TOML"
        )
        raise exceptions.DeclarationError.from_faults([fault]) from error
    entry_settings, file_faults = decoding.decode(document, Settings, str(path), "")
    file_faults += _find_exposure(document, str(path))
    if entry_settings is None or file_faults:
        raise exceptions.DeclarationError.from_faults(file_faults)
    return entry_settings


def _find_exposure(document: dict[str, object], file: str) -> list[faults.Fault]:
    """Return a fault if other machines could reach the operators' port without a token."""
    operators = document.get("operators", {})
    if not isinstance(operators, dict) or operators.get("token"):
        return []
    if is_loopback(str(operators.get("host", Operators().host))):
        return []
    return [
        faults.Fault(
            file=file,
            field="operators.token",
            wrong="operators would listen beyond loopback without a token",
            remedy="set a token, or operators.host to a loopback address",
        )
    ]


def is_loopback(host: str) -> bool:
    """Return whether an address is reachable from this machine only."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"
