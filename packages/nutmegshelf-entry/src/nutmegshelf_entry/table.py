"""Client of the platform's table, object store, fleet list and workers service."""

import typing

import h11
import msgspec
from nutmegshelf import codecs, exceptions, platform, workers
from nutmegshelf_http import client

_HEADERS = [(b"content-type", b"application/msgpack")]


class PlatformClient:
    """Client of the platform's services; every call ends within its time limit."""

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        self._client = client.Client(host, port)
        self._timeout_s = timeout_s

    async def read(self, key: str) -> platform.Row:
        """Read a row; raises TableUnavailable."""
        response = await self._call("GET", f"/table/{key}", is_write=False)
        return codecs.unpack(response.body, platform.Row)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[platform.Row]:
        """Read rows by prefix, ordered by key; raises TableUnavailable."""
        target = f"/scan/{prefix}?after={after}&limit={limit}"
        response = await self._call("GET", target, is_write=False)
        return codecs.unpack(response.body, list[platform.Row])

    async def commit(self, transaction: platform.Transaction) -> platform.CommitResult:
        """Apply a transaction; raises TableUnavailable or TableAnswerLost."""
        response = await self._call("POST", "/table", codecs.pack(transaction))
        try:
            return codecs.unpack(response.body, platform.CommitResult)
        except msgspec.DecodeError as error:
            raise exceptions.TableAnswerLost(str(error)) from error

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object; idempotent."""
        await self._call("PUT", f"/objects/{key}", data)

    async def get_object(self, key: str) -> bytes | None:
        """Read an object, or return None if it does not exist; raises TableUnavailable."""
        response = await self._call("GET", f"/objects/{key}", is_write=False)
        return None if response.status == 404 else response.body

    async def delete_object(self, key: str) -> None:
        """Delete an object; idempotent."""
        await self._call("DELETE", f"/objects/{key}")

    async def get_fleet(self, after_revision: int = -1) -> platform.FleetList | None:
        """Read a page of changes to the fleet list after a revision; raises TableUnavailable."""
        response = await self._call("GET", f"/fleet?after={after_revision}", is_write=False)
        return None if response.status == 204 else codecs.unpack(response.body, platform.FleetList)

    async def list_workers(self, after_revision: int = -1) -> workers.WorkerList | None:
        """Read the list of workers if newer than a revision; raises TableUnavailable."""
        response = await self._call("GET", f"/workers?after={after_revision}", is_write=False)
        return None if response.status == 204 else codecs.unpack(response.body, workers.WorkerList)

    async def send_order(self, order: workers.AnyOrder) -> workers.Outcome:
        """Send an order to a worker; raises TableUnavailable or TableAnswerLost."""
        response = await self._call("POST", "/orders", codecs.pack(order))
        return codecs.unpack(response.body, workers.Outcome)

    async def get_usage(self) -> list[workers.TaskUsage]:
        """Read the usage of tasks, which lags; raises TableUnavailable."""
        response = await self._call("GET", "/usage", is_write=False)
        return codecs.unpack(response.body, list[workers.TaskUsage])

    async def _call(
        self, method: str, target: str, body: bytes = b"", *, is_write: bool = True
    ) -> client.Response:
        failure = exceptions.TableAnswerLost if is_write else exceptions.TableUnavailable
        try:
            response = await self._client.request(
                method, target, body, _HEADERS, timeout_s=self._timeout_s
            )
        except ConnectionRefusedError as error:
            raise exceptions.TableUnavailable(str(error)) from error
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            raise failure(f"{method} {target}: {error!r}") from error
        if response.status == 503:
            raise exceptions.TableUnavailable(f"{method} {target}: the platform is down")
        if response.status >= 400 and (method, response.status) != ("GET", 404):
            raise failure(f"{method} {target}: status {response.status}")
        return response

    def close(self) -> None:
        """Close the connections."""
        self._client.close()


class WorkerService(typing.Protocol):
    """Interface of the workers service; tests substitute a fake."""

    async def list_workers(self, after_revision: int = -1) -> workers.WorkerList | None:
        """Read the list of workers if newer than a revision."""

    async def send_order(self, order: workers.AnyOrder) -> workers.Outcome:
        """Send an order to a worker."""

    async def get_usage(self) -> list[workers.TaskUsage]:
        """Read the usage of tasks, which lags."""


class Store(typing.Protocol):
    """Interface of the table and the object store; tests substitute a fake."""

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
