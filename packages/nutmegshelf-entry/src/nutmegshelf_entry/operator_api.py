"""Serve operators: check, publish, status, history, explanations and metrics."""

import asyncio
import collections.abc
import hmac
import json
import time
import urllib.parse

import msgspec
from nutmegshelf import (
    audit,
    changes,
    codecs,
    configuration,
    decisions,
    declarations,
    exceptions,
    ids,
    members,
    platform,
    status,
    validation,
)
from nutmegshelf_http import server

from nutmegshelf_entry import configurator, publisher, settings, telemetry

_MAX_PUBLISH_BYTES = 32 * 1024 * 1024
_JSON = [(b"content-type", b"application/json")]
_HISTORY_ROWS = 20
_HISTORY_TIMEOUT_S = 3.0

ListMinions = collections.abc.Callable[[], tuple[platform.MinionRecord, ...]]
Response = tuple[int, object]
PendingResponse = collections.abc.Awaitable[Response]
Handler = collections.abc.Callable[[server.Exchange], PendingResponse]
ListPools = collections.abc.Callable[[], list[status.PoolStatus]]


class Publish(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a set of declaration files to be accepted, or only checked."""

    files: dict[str, str]
    publish_id: ids.PublishId = ids.PublishId("")
    operator: str = ""
    expected: ids.Version | None = None


class OperatorApi:
    """Answer the operators' requests."""

    def __init__(
        self,
        *,
        entry_settings: settings.Settings,
        active_configuration: configuration.ActiveConfiguration,
        config: configurator.Configurator,
        config_publisher: publisher.Publisher,
        membership: members.Members,
        metrics: telemetry.Telemetry,
        audit_log: audit.DecisionLog,
        list_minions: ListMinions,
        fleet_decisions: collections.abc.Sequence[decisions.Decision] = (),
    ) -> None:
        self._settings = entry_settings
        self._active = active_configuration
        self._config = config
        self._publisher = config_publisher
        self._members = membership
        self._telemetry = metrics
        self._audit_log = audit_log
        self._fleet_decisions = fleet_decisions
        self._list_minions = list_minions
        self.ready = False
        self.is_stale = False
        self.list_pools: ListPools = list
        self._routes: dict[tuple[str, str], Handler] = {
            ("GET", "/status"): self._status,
            ("GET", "/history"): self._history,
            ("GET", "/explain"): self._explain,
            ("GET", "/configuration"): self._configuration,
            ("POST", "/check"): self._check,
            ("POST", "/publish"): self._publish,
        }

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one operator request."""
        path = exchange.target.partition("?")[0]
        ready = self.ready and not self.is_stale
        match exchange.method, path:
            case "GET", "/ready":
                await self._answer(exchange, 200 if ready else 503, {"ready": ready})
            case "GET", "/metrics":
                text = [(b"content-type", b"text/plain; version=0.0.4")]
                await exchange.respond(200, text, self._telemetry.render())
            case _ if not self._is_allowed(exchange):
                await self._answer(exchange, 401, {"error": "a bearer token is needed"})
            case key if found := self._routes.get(key):
                status, body = await found(exchange)
                await self._answer(exchange, status, body)
            case _:
                await self._answer(exchange, 404, {"error": f"there is no {path}"})

    def _is_allowed(self, exchange: server.Exchange) -> bool:
        token = self._settings.operators.token
        given = exchange.get_header(b"authorization") or b""
        return not token or hmac.compare_digest(given, f"Bearer {token}".encode())

    async def _status(self, exchange: server.Exchange) -> Response:
        now_s = asyncio.get_running_loop().time()
        accepted = self._active.current
        return 200, {
            "entry": self._settings.entry,
            "zone": self._settings.zone,
            "version": self._active.version,
            "ready": self.ready and not self.is_stale,
            "standing": self._config.status.value,
            "table_age_s": self._config.confirmation.get_table_age_s(now_s),
            "accepted_at_s": accepted.head.accepted_at_s if accepted else None,
            "operator": accepted.head.operator if accepted else None,
            "declared": self._counts(),
            "pools": msgspec.to_builtins(self.list_pools()),
            "entries": [self._entry(member, now_s) for member in self._members.by_entry.values()],
        }

    def _counts(self) -> dict[str, int]:
        accepted = self._active.current
        if accepted is None:
            return {}
        return {kind: len(named) for kind, named in _kinds(accepted).items()}

    def _entry(self, member: members.Member, now_s: float) -> dict[str, object]:
        row = member.row
        is_own = row.entry == self._settings.entry
        version = max(row.version, self._config.peer_versions.get(row.entry, row.version))
        return {
            **msgspec.to_builtins(row),
            "version": self._active.version if is_own else version,
            "age_s": 0.0 if is_own else now_s - member.last_heard_s,
            "is_live": is_own or now_s - member.last_heard_s <= self._members.silence_limit_s,
        }

    async def _history(self, exchange: server.Exchange) -> Response:
        """Answer from the table, or from memory where the table gives no answer."""
        after = int(_query(exchange).get("after", 0))
        after = after or max(0, self._active.version - _HISTORY_ROWS)
        try:
            async with asyncio.timeout(_HISTORY_TIMEOUT_S):
                found, age_s = await self._publisher.get_history(after), 0.0
        except (exceptions.TableError, TimeoutError):
            found = [one for one in self._config.recent_revisions if one.head.version > after]
            now_s = asyncio.get_running_loop().time()
            age_s = self._config.confirmation.get_table_age_s(now_s) or 0.0
        return 200, {"age_s": age_s, "revisions": [_shown(one) for one in found]}

    async def _explain(self, exchange: server.Exchange) -> Response:
        name = _query(exchange).get("name", "")
        found = [*self._audit_log.get(name), *self._about_fleet(name)]
        if not found:
            return 404, {"error": f'no decision on "{name}" is kept at {self._settings.entry}'}
        return 200, {"entry": self._settings.entry, "decisions": msgspec.to_builtins(found)}

    def _about_fleet(self, name: str) -> list[audit.Decision]:
        # The fleet dates its decisions by the loop's clock, operators read the calendar's.
        started_at_s = time.time() - asyncio.get_running_loop().time()
        return [
            audit.Decision(
                kind=one.action.value,
                subject=one.name,
                reason=one.reason,
                at_s=started_at_s + one.at_s,
            )
            for one in reversed(self._fleet_decisions)
            if one.name == name
        ]

    async def _configuration(self, exchange: server.Exchange) -> Response:
        accepted = self._active.current
        now_s = asyncio.get_running_loop().time()
        return 200, {
            "version": self._active.version,
            "age_s": self._config.confirmation.get_table_age_s(now_s),
            "declarations": msgspec.to_builtins(accepted.declarations) if accepted else {},
        }

    def _checked(self, asked: Publish) -> tuple[declarations.DeclarationSet, list[object]]:
        accepted = self._active.current
        fleet = platform.FleetList(revision=0, minions=self._list_minions())
        before = accepted.declarations if accepted else None
        declared, found = validation.validate(asked.files, before, fleet if fleet.minions else None)
        return declared, [{**msgspec.to_builtins(one), "text": str(one)} for one in found]

    async def _check(self, exchange: server.Exchange) -> Response:
        try:
            asked = await _read(exchange)
        except ValueError as error:
            return 422, {"error": str(error)}
        declared, faults = self._checked(asked)
        accepted = self._active.current
        before = accepted.declarations if accepted else declarations.DeclarationSet()
        differences = [] if faults else changes.describe(before, declared)
        return (422 if faults else 200), {
            "version": self._active.version,
            "faults": faults,
            "differences": msgspec.to_builtins(differences),
        }

    async def _publish(self, exchange: server.Exchange) -> Response:
        try:
            asked = await _read(exchange)
        except ValueError as error:
            return 422, {"error": str(error)}
        if not asked.publish_id:
            return 422, {"error": "the publish id is missing"}
        declared, faults = self._checked(asked)
        if faults:
            return 422, {"error": "the set has faults", "faults": faults}
        return await self._accept(asked, declared)

    async def _accept(self, asked: Publish, declared: declarations.DeclarationSet) -> Response:
        started_s = asyncio.get_running_loop().time()
        try:
            revision = await self._publisher.publish(
                declared, asked.publish_id, asked.operator, asked.expected
            )
        except publisher.VersionConflict as error:
            return 409, await self._conflict(error, asked)
        except publisher.PublishIdConflict as error:
            return 422, {"error": str(error)}
        except exceptions.TableError as error:
            is_unknown = isinstance(error, exceptions.TableAnswerLost)
            return 503, {"error": str(error), "outcome": "unknown" if is_unknown else "not-run"}
        accepted = configuration.Configuration(head=revision.head, declarations=declared)
        self._config.activate_published(revision, accepted, started_s)
        return 200, {"head": msgspec.to_builtins(revision.head)}

    async def _conflict(self, error: publisher.VersionConflict, asked: Publish) -> object:
        since: list[configuration.Revision] = []
        base = asked.expected if asked.expected is not None else error.current.version - 1
        try:
            since = await self._publisher.get_history(base)
        except exceptions.TableError:
            since = [one for one in self._config.recent_revisions if one.head.version > base]
        return {
            "error": str(error),
            "current": msgspec.to_builtins(error.current),
            "since": [_shown(one) for one in since],
        }

    async def _answer(self, exchange: server.Exchange, status: int, body: object) -> None:
        await exchange.respond(status, _JSON, json.dumps(body).encode())


def _kinds(accepted: configuration.Configuration) -> dict[str, dict[str, object]]:
    return {
        field.name: getattr(accepted.declarations, field.name)
        for field in msgspec.structs.fields(accepted.declarations)
    }


def _query(exchange: server.Exchange) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(exchange.target).query))


async def _read(exchange: server.Exchange) -> Publish:
    data = await exchange.connection.read_body(_MAX_PUBLISH_BYTES)
    asked: Publish = codecs.CODECS["json"].decode(data, Publish)
    return asked


def _shown(revision: configuration.Revision) -> dict[str, object]:
    return {
        "version": revision.head.version,
        "operator": revision.head.operator,
        "accepted_at_s": revision.head.accepted_at_s,
        "publish_id": revision.head.publish_id,
        "changed": list(revision.changed),
        "changed_count": revision.changed_count,
    }
