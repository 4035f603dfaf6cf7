"""Speak with the platform's table, object store and fleet list."""

import typing

import h11
import msgspec
from nutmegshelf import codecs, exceptions, platform, workers
from nutmegshelf_http import client

_HEADERS = [(b"content-type", b"application/msgpack")]


class PlatformClient:
    """Own the connections to the platform; every call ends within its time limit."""

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        self._client = client.Client(host, port)
        self._timeout_s = timeout_s

    async def read(self, key: str) -> platform.Row:
        """Read a row; raises TableUnavailable."""
        answer = await self._call("GET", f"/table/{key}", changes=False)
        return codecs.unpack(answer.body, platform.Row)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[platform.Row]:
        """Read rows by prefix in the order of their keys; raises TableUnavailable."""
        target = f"/scan/{prefix}?after={after}&limit={limit}"
        answer = await self._call("GET", target, changes=False)
        return codecs.unpack(answer.body, list[platform.Row])

    async def commit(self, transaction: platform.Transaction) -> platform.CommitResult:
        """Apply a transaction; raises TableUnavailable or TableAnswerLost."""
        answer = await self._call("POST", "/table", codecs.pack(transaction))
        try:
            return codecs.unpack(answer.body, platform.CommitResult)
        except msgspec.DecodeError as error:
            raise exceptions.TableAnswerLost(str(error)) from error

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object; a repeat is the same effect."""
        await self._call("PUT", f"/objects/{key}", data)

    async def get_object(self, key: str) -> bytes | None:
        """Read an object, or none where there is none; raises TableUnavailable."""
        answer = await self._call("GET", f"/objects/{key}", changes=False)
        return None if answer.status == 404 else answer.body

    async def delete_object(self, key: str) -> None:
        """Delete an object; a repeat is the same effect."""
        await self._call("DELETE", f"/objects/{key}")

    async def get_fleet(self, after_revision: int = -1) -> platform.FleetList | None:
        """Read a page of the list's changes after a revision; raises TableUnavailable."""
        answer = await self._call("GET", f"/fleet?after={after_revision}", changes=False)
        return None if answer.status == 204 else codecs.unpack(answer.body, platform.FleetList)

    async def list_workers(self, after_revision: int = -1) -> workers.WorkerList | None:
        """Read the list of workers if it is newer than a revision; raises TableUnavailable."""
        answer = await self._call("GET", f"/workers?after={after_revision}", changes=False)
        return None if answer.status == 204 else codecs.unpack(answer.body, workers.WorkerList)

    async def send_order(self, order: workers.AnyOrder) -> workers.Outcome:
        """Send an order; raises TableUnavailable or TableAnswerLost."""
        answer = await self._call("POST", "/orders", codecs.pack(order))
        return codecs.unpack(answer.body, workers.Outcome)

    async def get_usage(self) -> list[workers.TaskUsage]:
        """Read the lagged usage of tasks; raises TableUnavailable."""
        answer = await self._call("GET", "/usage", changes=False)
        return codecs.unpack(answer.body, list[workers.TaskUsage])

    async def _call(
        self, method: str, target: str, body: bytes = b"", *, changes: bool = True
    ) -> client.Response:
        lost = exceptions.TableAnswerLost if changes else exceptions.TableUnavailable
        try:
            answer = await self._client.request(
                method, target, body, _HEADERS, timeout_s=self._timeout_s
            )
        except ConnectionRefusedError as error:
            raise exceptions.TableUnavailable(str(error)) from error
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            raise lost(f"{method} {target}: {error!r}") from error
        if answer.status == 503:
            raise exceptions.TableUnavailable(f"{method} {target}: the platform is down")
        if answer.status >= 400 and (method, answer.status) != ("GET", 404):
            raise lost(f"{method} {target}: status {answer.status}")
        return answer

    def close(self) -> None:
        """End the connections."""
        self._client.close()


class WorkerService(typing.Protocol):
    """Name what parts of the daemon need of the workers service, so that tests can fake it."""

    async def list_workers(self, after_revision: int = -1) -> workers.WorkerList | None:
        """Read the list of workers."""

    async def send_order(self, order: workers.AnyOrder) -> workers.Outcome:
        """Send an order."""

    async def get_usage(self) -> list[workers.TaskUsage]:
        """Read the lagged usage of tasks."""


class Store(typing.Protocol):
    """Name what parts of the daemon need of the table, so that tests can fake it."""

    async def read(self, key: str) -> platform.Row:
        """Read a row."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[platform.Row]:
        """Read rows by prefix."""

    async def commit(self, transaction: platform.Transaction) -> platform.CommitResult:
        """Apply a transaction."""

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object."""

    async def get_object(self, key: str) -> bytes | None:
        """Read an object."""

    async def delete_object(self, key: str) -> None:
        """Delete an object."""
