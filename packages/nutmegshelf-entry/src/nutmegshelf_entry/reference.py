"""Reference page of all settings, generated from their types."""

import collections.abc
import json

import msgspec
from nutmegshelf import decoding

from nutmegshelf_entry import settings

DESCRIPTIONS: dict[str, str] = {
    "entry": "The name of this entry; no two running entries share one.",
    "zone": "The availability zone that this entry stands in.",
    "platform.host": "The address of the platform's services.",
    "platform.port": "The port of the platform's services.",
    "platform.timeout_s": "How long one call to the platform may take.",
    "callers.host": "The address that callers reach.",
    "callers.port": "The port that callers reach; 0 takes any free one.",
    "operators.host": "The address of the operators' port.",
    "operators.port": "The operators' port; 0 takes any free one.",
    "operators.token": "The bearer token of operators; needed beyond loopback.",
    "peers.host": "The address that other entries reach.",
    "peers.port": "The port that other entries reach; 0 takes any free one.",
    "seats": "How many seats share a minion's connections: entries, and spare for paused ones.",
    "seat_interval_s": "How often the own seat is renewed in the table.",
    "seat_lease_s": "After how long without renewal a seat's slots go to the others.",
    "seat_silence_limit_s": "After how long without any sign of life a seat is given on.",
    "heartbeat_interval_s": "How often the entry tells others that it lives.",
    "poll_interval_s": "How often the table is asked for a newer configuration.",
    "push": "Whether peers are told of new versions; false leaves the polls alone.",
    "collect_interval_s": "How often old sets are cleared away.",
    "fleet_interval_s": "How often the platform's list of minions is read.",
    "probe_path": "The path that probes of minions ask for.",
    "pool_lease_s": "How long a pool's lease lasts after its holder's last sign of life.",
    "pool_rescan_s": "How often tasks' rows are read again, and workers' rows if changed.",
    "max_connections": "How many callers' connections are open at most.",
    "shutdown_grace_s": "How long callers are still served while the balancer learns of the stop.",
    "drain_timeout_s": "How long requests in progress may take once the entry stops.",
    "trace_fraction": "The share of requests that are traced.",
    "trace_exporter": "Where spans go: nowhere, or one log line each.",
    "log_level": "The least level of log lines.",
    "seed": "The seed of random choices; none takes a new one each time.",
}

_HEAD = """# Settings of an entry

`nutmegshelf-entry --settings FILE` reads one TOML file. Every fault in it is named at once, with
the file and the field, and the daemon ends with exit code 2. `make reference` writes this page;
`examples/entry.toml` sets every field.

| field | value | default | meaning |
|---|---|---|---|
"""


def iterate_fields(
    struct: type[msgspec.Struct], path: str = ""
) -> collections.abc.Iterator[tuple[str, ...]]:
    """Yield the path, the accepted values, the default and the meaning of each setting."""
    for field in msgspec.structs.fields(struct):
        field_path = f"{path}{field.name}"
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            yield from iterate_fields(field.type, f"{field_path}.")
            continue
        default = "needed" if field.required else _format_default(field.default)
        yield field_path, decoding.describe(field.type), default, DESCRIPTIONS.get(field_path, "")


def _format_default(default: object) -> str:
    return "none" if default is None else json.dumps(msgspec.to_builtins(default))


def render() -> str:
    """Return the whole page as Markdown."""
    rows = (
        " | ".join((f"`{field_path}`", *columns))
        for field_path, *columns in iterate_fields(settings.Settings)
    )
    return _HEAD + "".join(f"| {row} |\n" for row in rows)


if __name__ == "__main__":
    print(render(), end="")
