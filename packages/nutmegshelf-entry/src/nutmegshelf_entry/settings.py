"""Read and check the daemon's settings."""

import pathlib
import tomllib

import msgspec
from nutmegshelf import exceptions, ids


class _Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    pass


class Listener(_Settings, frozen=True, kw_only=True):
    """Set where a socket listens; port 0 takes any free one."""

    host: str = "127.0.0.1"
    port: int = 0


class Operators(_Settings, frozen=True, kw_only=True):
    """Set the operators' port and its bearer token."""

    host: str = "127.0.0.1"
    port: int = 0
    token: str = ""


class Platform(_Settings, frozen=True, kw_only=True):
    """Set where the platform's services are."""

    host: str
    port: int
    timeout_s: float = 2.0


class Settings(_Settings, frozen=True, kw_only=True):
    """Hold all settings of one entry."""

    entry: ids.EntryId
    zone: ids.ZoneName
    platform: Platform
    callers: Listener = Listener()
    operators: Operators = Operators()
    peers: Listener = Listener()
    seats: int = 7
    heartbeat_interval_s: float = 1.0
    poll_interval_s: float = 1.0
    collect_interval_s: float = 300.0
    fleet_interval_s: float = 0.5
    probe_path: str = "/health"
    drain_timeout_s: float = 30.0
    trace_fraction: float = 0.01
    log_level: str = "info"
    seed: int | None = None


def load(path: pathlib.Path) -> Settings:
    """Read a settings file; raises DeclarationError naming the file and the field."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), Settings)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise exceptions.DeclarationError(f"{path}: {error}") from error
