"""Serve operators: publish, status, metrics."""

import hmac
import json

import msgspec
from nutmegshelf import codecs, configuration, declarations, exceptions, ids, members
from nutmegshelf_http import server

from nutmegshelf_entry import configurator, settings, telemetry

_MAX_PUBLISH_BYTES = 32 * 1024 * 1024
_JSON = [(b"content-type", b"application/json")]


class Publish(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a set of declaration files to be accepted."""

    files: dict[str, str]
    publish_id: ids.PublishId
    operator: str = ""
    expected: ids.Version | None = None


class Operator:
    """Answer the operators' requests."""

    def __init__(
        self,
        own: settings.Settings,
        in_force: configuration.InForce,
        config: configurator.Configurator,
        known: members.Members,
        metrics: telemetry.Telemetry,
    ) -> None:
        self._own = own
        self._in_force = in_force
        self._config = config
        self._members = known
        self._telemetry = metrics
        self.ready = False

    async def handle(self, exchange: server.Exchange) -> None:
        """Serve one operator request."""
        path = exchange.target.partition("?")[0]
        match exchange.method, path:
            case "GET", "/ready":
                await self._answer(exchange, 200 if self.ready else 503, {"ready": self.ready})
            case "GET", "/metrics":
                text = [(b"content-type", b"text/plain; version=0.0.4")]
                await exchange.respond(200, text, self._telemetry.render())
            case _ if not self._is_allowed(exchange):
                await self._answer(exchange, 401, {"error": "a bearer token is needed"})
            case "GET", "/status":
                await self._answer(exchange, 200, self._status())
            case "POST", "/publish":
                await self._publish(exchange)
            case _:
                await self._answer(exchange, 404, {"error": f"there is no {path}"})

    def _is_allowed(self, exchange: server.Exchange) -> bool:
        token = self._own.operators.token
        given = exchange.header(b"authorization") or b""
        return not token or hmac.compare_digest(given, f"Bearer {token}".encode())

    def _status(self) -> dict[str, object]:
        return {
            "entry": self._own.entry,
            "zone": self._own.zone,
            "version": self._in_force.version,
            "ready": self.ready,
            "entries": [msgspec.to_builtins(member.row) for member in self._members.known.values()],
        }

    async def _publish(self, exchange: server.Exchange) -> None:
        try:
            data = await exchange.link.read_body(_MAX_PUBLISH_BYTES)
            asked: Publish = codecs.CODECS["json"].decode(data, Publish)
            declared = declarations.from_toml(asked.files)
        except (ValueError, exceptions.DeclarationError) as error:
            await self._answer(exchange, 422, {"error": str(error)})
            return
        try:
            head = await self._config.publish(
                declared, asked.publish_id, asked.operator, asked.expected
            )
        except configurator.Conflict as error:
            await self._answer(
                exchange, 409, {"error": str(error), "current": msgspec.to_builtins(error.current)}
            )
        except exceptions.TableError as error:
            await self._answer(exchange, 503, {"error": str(error)})
        else:
            await self._answer(exchange, 200, {"head": msgspec.to_builtins(head)})

    async def _answer(self, exchange: server.Exchange, status: int, body: object) -> None:
        await exchange.respond(status, _JSON, json.dumps(body).encode())
