"""Serve the operators' HTTP API: check, publish, status, history, explain and metrics."""

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
_DEFAULT_HISTORY_ROWS = 20
_HISTORY_TIMEOUT_S = 3.0

ListMinions = collections.abc.Callable[[], tuple[platform.MinionRecord, ...]]
Response = tuple[int, object]
PendingResponse = collections.abc.Awaitable[Response]
Handler = collections.abc.Callable[[server.Exchange], PendingResponse]
ListPools = collections.abc.Callable[[], list[status.PoolStatus]]


class PublishRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to publish a set of declaration files, or only to check it."""

    files: dict[str, str]
    publish_id: ids.PublishId = ids.PublishId("")
    operator: str = ""
    expected: ids.Version | None = None


class OperatorApi:
    """The handler of the operators' HTTP requests at one entry."""

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
        self._configurator = config
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
            ("GET", "/status"): self._show_status,
            ("GET", "/history"): self._show_history,
            ("GET", "/explain"): self._explain_decisions,
            ("GET", "/configuration"): self._show_configuration,
            ("POST", "/check"): self._check_files,
            ("POST", "/publish"): self._publish_files,
        }

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one request; readiness and metrics need no bearer token."""
        path = exchange.target.partition("?")[0]
        ready = self.ready and not self.is_stale
        match exchange.method, path:
            case "GET", "/ready":
                await self._respond(exchange, 200 if ready else 503, {"ready": ready})
            case "GET", "/metrics":
                text = [(b"content-type", b"text/plain; version=0.0.4")]
                await exchange.respond(200, text, self._telemetry.render())
            case _ if not self._is_allowed(exchange):
                await self._respond(exchange, 401, {"error": "a bearer token is needed"})
            case key if handler := self._routes.get(key):
                status, body = await handler(exchange)
                await self._respond(exchange, status, body)
            case _:
                await self._respond(exchange, 404, {"error": f"there is no {path}"})

    def _is_allowed(self, exchange: server.Exchange) -> bool:
        token = self._settings.operators.token
        given = exchange.get_header(b"authorization") or b""
        return not token or hmac.compare_digest(given, f"Bearer {token}".encode())

    async def _show_status(self, exchange: server.Exchange) -> Response:
        now_s = asyncio.get_running_loop().time()
        accepted = self._active.current
        return 200, {
            "entry": self._settings.entry,
            "zone": self._settings.zone,
            "version": self._active.version,
            "ready": self.ready and not self.is_stale,
            "standing": self._configurator.status.value,
            "table_age_s": self._configurator.confirmation.get_table_age_s(now_s),
            "accepted_at_s": accepted.head.accepted_at_s if accepted else None,
            "operator": accepted.head.operator if accepted else None,
            "declared": self._count_declarations(),
            "pools": msgspec.to_builtins(self.list_pools()),
            "entries": [
                self._make_entry_view(member, now_s) for member in self._members.by_entry.values()
            ],
        }

    def _count_declarations(self) -> dict[str, int]:
        accepted = self._active.current
        if accepted is None:
            return {}
        return {kind: len(named) for kind, named in _get_declarations_by_kind(accepted).items()}

    def _make_entry_view(self, member: members.Member, now_s: float) -> dict[str, object]:
        row = member.row
        is_own = row.entry == self._settings.entry
        version = max(row.version, self._configurator.peer_versions.get(row.entry, row.version))
        return {
            **msgspec.to_builtins(row),
            "version": self._active.version if is_own else version,
            "age_s": 0.0 if is_own else now_s - member.last_heard_s,
            "is_live": is_own or now_s - member.last_heard_s <= self._members.silence_limit_s,
        }

    async def _show_history(self, exchange: server.Exchange) -> Response:
        """Return revisions from the table, or from memory if the table gives no answer."""
        after = int(_parse_query(exchange).get("after", 0))
        after = after or max(0, self._active.version - _DEFAULT_HISTORY_ROWS)
        try:
            async with asyncio.timeout(_HISTORY_TIMEOUT_S):
                revisions, age_s = await self._publisher.get_history(after), 0.0
        except (exceptions.TableError, TimeoutError):
            revisions = [
                revision
                for revision in self._configurator.recent_revisions
                if revision.head.version > after
            ]
            now_s = asyncio.get_running_loop().time()
            age_s = self._configurator.confirmation.get_table_age_s(now_s) or 0.0
        return 200, {
            "age_s": age_s,
            "revisions": [_make_revision_view(revision) for revision in revisions],
        }

    async def _explain_decisions(self, exchange: server.Exchange) -> Response:
        name = _parse_query(exchange).get("name", "")
        subject_decisions = [*self._audit_log.get(name), *self._find_fleet_decisions(name)]
        if not subject_decisions:
            return 404, {"error": f'no decision on "{name}" is kept at {self._settings.entry}'}
        return 200, {
            "entry": self._settings.entry,
            "decisions": msgspec.to_builtins(subject_decisions),
        }

    def _find_fleet_decisions(self, name: str) -> list[audit.Decision]:
        # Fleet decisions carry times of the event loop's clock; operators get Unix times.
        loop_epoch_s = time.time() - asyncio.get_running_loop().time()
        return [
            audit.Decision(
                kind=decision.action.value,
                subject=decision.name,
                reason=decision.reason,
                at_s=loop_epoch_s + decision.at_s,
            )
            for decision in reversed(self._fleet_decisions)
            if decision.name == name
        ]

    async def _show_configuration(self, exchange: server.Exchange) -> Response:
        accepted = self._active.current
        now_s = asyncio.get_running_loop().time()
        return 200, {
            "version": self._active.version,
            "age_s": self._configurator.confirmation.get_table_age_s(now_s),
            "declarations": msgspec.to_builtins(accepted.declarations) if accepted else {},
        }

    def _validate(
        self, request: PublishRequest
    ) -> tuple[declarations.DeclarationSet, list[object]]:
        accepted = self._active.current
        fleet = platform.FleetList(revision=0, minions=self._list_minions())
        current = accepted.declarations if accepted else None
        declared, faults = validation.validate(
            request.files, current, fleet if fleet.minions else None
        )
        return declared, [{**msgspec.to_builtins(fault), "text": str(fault)} for fault in faults]

    async def _check_files(self, exchange: server.Exchange) -> Response:
        try:
            request = await _read_publish(exchange)
        except ValueError as error:
            return 422, {"error": str(error)}
        declared, faults = self._validate(request)
        accepted = self._active.current
        current = accepted.declarations if accepted else declarations.DeclarationSet()
        differences = [] if faults else changes.describe(current, declared)
        return (422 if faults else 200), {
            "version": self._active.version,
            "faults": faults,
            "differences": msgspec.to_builtins(differences),
        }

    async def _publish_files(self, exchange: server.Exchange) -> Response:
        try:
            request = await _read_publish(exchange)
        except ValueError as error:
            return 422, {"error": str(error)}
        if not request.publish_id:
            return 422, {"error": "the publish id is missing"}
        declared, faults = self._validate(request)
        if faults:
            # The set may have been accepted earlier, when it had none.
            try:
                is_accepted = await self._publisher.is_accepted(declared, request.publish_id)
            except exceptions.TableError as error:
                return 503, {**_make_unavailable(error), "faults": faults}
            if not is_accepted:
                return 422, {"error": "the set has faults", "faults": faults}
        return await self._accept(request, declared)

    async def _accept(
        self, request: PublishRequest, declared: declarations.DeclarationSet
    ) -> Response:
        started_s = asyncio.get_running_loop().time()
        try:
            revision = await self._publisher.publish(
                declared, request.publish_id, request.operator, request.expected
            )
        except publisher.VersionConflict as error:
            return 409, await self._make_conflict(error, request)
        except publisher.PublishIdConflict as error:
            return 422, {"error": str(error)}
        except exceptions.TableError as error:
            return 503, _make_unavailable(error)
        accepted = configuration.Configuration(head=revision.head, declarations=declared)
        self._configurator.activate_published(revision, accepted, started_s)
        return 200, {"head": msgspec.to_builtins(revision.head)}

    async def _make_conflict(
        self, error: publisher.VersionConflict, request: PublishRequest
    ) -> object:
        later_revisions: list[configuration.Revision] = []
        base_version = (
            request.expected if request.expected is not None else error.current.version - 1
        )
        try:
            later_revisions = await self._publisher.get_history(base_version)
        except exceptions.TableError:
            later_revisions = [
                revision
                for revision in self._configurator.recent_revisions
                if revision.head.version > base_version
            ]
        return {
            "error": str(error),
            "current": msgspec.to_builtins(error.current),
            "since": [_make_revision_view(revision) for revision in later_revisions],
        }

    async def _respond(self, exchange: server.Exchange, status: int, body: object) -> None:
        await exchange.respond(status, _JSON, json.dumps(body).encode())


def _make_unavailable(error: exceptions.TableError) -> dict[str, object]:
    may_have_taken_effect = isinstance(error, exceptions.TableAnswerLost)
    return {"error": str(error), "outcome": "unknown" if may_have_taken_effect else "not-run"}


def _get_declarations_by_kind(
    accepted: configuration.Configuration,
) -> dict[str, dict[str, object]]:
    return {
        field.name: getattr(accepted.declarations, field.name)
        for field in msgspec.structs.fields(accepted.declarations)
    }


def _parse_query(exchange: server.Exchange) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(exchange.target).query))


async def _read_publish(exchange: server.Exchange) -> PublishRequest:
    data = await exchange.connection.read_body(_MAX_PUBLISH_BYTES)
    request: PublishRequest = codecs.CODECS["json"].decode(data, PublishRequest)
    return request


def _make_revision_view(revision: configuration.Revision) -> dict[str, object]:
    return {
        "version": revision.head.version,
        "operator": revision.head.operator,
        "accepted_at_s": revision.head.accepted_at_s,
        "publish_id": revision.head.publish_id,
        "changed": list(revision.changed),
        "changed_count": revision.changed_count,
    }
