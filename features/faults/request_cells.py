"""Cells that inject a fault while a request is at a step, and check it from outside."""

import asyncio
import dataclasses

from nutmegshelf_standins import caller, network

from features import hosts
from features.faults import injection, matrix

REQUEST_KINDS = ("idempotent", "unkeyed", "keyed")
_BODY_BYTES = 200_000
_RESPONSE_BYTES = 200_000
_TIMEOUT_MS = 5000
_RUN_DURATION_MS = 50
_SETTLE_S = 25.0
_FILLING_REQUEST_COUNT = 120
_FILLING_RUN_DURATION_MS = 300
_ENTRY = "entry-0"
_RETRY_ENTRY = "entry-1"
_KEYED_STEPS = ("claim", "store answer")


@dataclasses.dataclass(slots=True)
class _Trigger:
    """A trigger that injects the fault when the deliveries of one request reach the step."""

    step: str
    token: str
    injector: injection.FaultInjector
    target_minion: str = ""
    is_head_sent: bool = False
    is_answered: bool = False

    def intercept(self, delivery: network.Delivery) -> network.DeliveryOutcome:
        """Return the outcome of a delivery, injecting the fault before it reaches the step."""
        self._update_progress(delivery)
        if not self.injector.is_injected and self._reaches_step(delivery):
            self.injector.inject(self.target_minion)
            site = self.injector.site
            if not site.network.can_reach(delivery.source, delivery.target):
                return network.DeliveryOutcome(is_delivered=False)
        return self.injector.get_delivery_outcome(delivery)

    def _update_progress(self, delivery: network.Delivery) -> None:
        payload = delivery.data or b""
        if delivery.source == _ENTRY and delivery.target.startswith("minion"):
            if delivery.data is None and not self.is_head_sent:
                self.target_minion = delivery.target
            if b"x-token: " + self.token.encode() in payload.lower():
                self.target_minion = delivery.target
        if (
            delivery.source == self.target_minion
            and b"x-token: " + self.token.encode() in payload.lower()
        ):
            self.is_answered = True

    def _reaches_step(self, delivery: network.Delivery) -> bool:
        payload = delivery.data
        to_minion = delivery.source == _ENTRY and delivery.target.startswith("minion")
        has_token = to_minion and payload is not None and self.token.encode() in payload
        was_head_sent, self.is_head_sent = self.is_head_sent, self.is_head_sent or has_token
        from_caller = (delivery.source, delivery.target) == ("caller", _ENTRY)
        reached_by_step = {
            "accept": from_caller and payload is None,
            "claim": self._is_table_write(delivery) and not was_head_sent,
            "connect": to_minion and payload is None,
            "send head": has_token,
            "send body": was_head_sent and to_minion and payload is not None,
            "relay": self.is_answered,
            "store answer": self.is_answered and self._is_table_write(delivery),
        }
        return reached_by_step.get(self.step, False)

    def _is_table_write(self, delivery: network.Delivery) -> bool:
        payload = delivery.data or b""
        is_write = (
            payload.startswith((b"POST /table", b"PUT /objects")) and b"entries/" not in payload
        )
        return delivery.source == _ENTRY and delivery.target == "platform" and is_write


async def run(site: hosts.Hosts, cell: matrix.Cell, kind: str) -> list[str]:
    """Run one cell for one kind of request and return the violated guarantees."""
    token = "target"
    injector = injection.FaultInjector(site, cell.fault, _ENTRY)
    trigger = _Trigger(cell.step, token, injector)
    filling_requests = []
    if cell.step == "queue":
        filling_requests = [
            _start_filling_request(site, number) for number in range(_FILLING_REQUEST_COUNT)
        ]
        await asyncio.sleep(0.02)
    site.network.interceptor = trigger.intercept
    first_request = asyncio.create_task(_send(site, kind, token, _ENTRY))
    if cell.step in ("queue", "await"):
        await _wait_until_step(site, cell.step, token)
        injector.inject(trigger.target_minion)
    call_record = await first_request
    await asyncio.sleep(injection.OUTAGE_S)
    injector.heal()
    await asyncio.sleep(_SETTLE_S - injection.OUTAGE_S)
    await asyncio.gather(*filling_requests)
    violations = [] if injector.is_injected else [f"the step {cell.step!r} was not reached"]
    violations += _check_first_response(site, kind, call_record, injector)
    violations += await _check_retry(site, kind, token, call_record, injector)
    return violations


def _start_filling_request(site: hosts.Hosts, number: int) -> "asyncio.Task[object]":
    return asyncio.create_task(
        site.call(f"fill-{number}", _ENTRY, method="GET", work_ms=_FILLING_RUN_DURATION_MS)
    )


async def _wait_until_step(site: hosts.Hosts, step: str, token: str) -> None:
    if step == "await":
        while token not in site.count_runs():
            await asyncio.sleep(0.001)
    await asyncio.sleep(0.01)


async def _send(site: hosts.Hosts, kind: str, token: str, entry: str) -> caller.CallRecord:
    with network.on_host("caller"):
        return await site.call(
            token,
            entry,
            method="PUT" if kind == "idempotent" else "POST",
            key="key-1" if kind == "keyed" else None,
            body=b"b" * _BODY_BYTES,
            response_bytes=_RESPONSE_BYTES,
            chunked=True,
            timeout_ms=_TIMEOUT_MS,
            work_ms=_RUN_DURATION_MS,
        )


def _check_first_response(
    site: hosts.Hosts, kind: str, call_record: caller.CallRecord, injector: injection.FaultInjector
) -> list[str]:
    violations = []
    run_count = site.count_runs()["target"]
    is_entry_paused = injector.fault.startswith("entry paused")
    if kind != "idempotent" and run_count > 1:
        violations.append(f"the request ran {run_count} times")
    if call_record.result is caller.Result.WRONG_BODY:
        violations.append("the response was truncated or belongs to another request")
    if call_record.result is caller.Result.COMPLETE and not run_count:
        violations.append("complete response although the request did not run")
    if call_record.result is caller.Result.NOT_RUN and run_count:
        violations.append(f"refused as not-run although the request ran ({call_record.error})")
    if call_record.result is caller.Result.TIMED_OUT and not is_entry_paused:
        violations.append("no final response")
    if call_record.latency_s > _TIMEOUT_MS / 1000 + 1 and not is_entry_paused:
        violations.append(f"the final response took {call_record.latency_s:.1f} s")
    return violations


async def _check_retry(
    site: hosts.Hosts,
    kind: str,
    token: str,
    call_record: caller.CallRecord,
    injector: injection.FaultInjector,
) -> list[str]:
    may_retry = kind != "unkeyed" or call_record.result is caller.Result.NOT_RUN
    if not may_retry:
        return []
    retry_record = await _send(site, kind, token, _RETRY_ENTRY)
    run_count = site.count_runs()[token]
    violations = []
    if kind != "idempotent" and run_count > 1:
        violations.append(f"the request ran {run_count} times after the retry")
    definite_results = (caller.Result.COMPLETE, caller.Result.UNKNOWN)
    if kind == "keyed" and retry_record.result not in definite_results:
        violations.append(f"the retry ended {retry_record.result.value} {retry_record.error}")
    if kind == "keyed" and call_record.result is caller.Result.COMPLETE is not retry_record.result:
        violations.append(
            "the retry after a complete response ended"
            f" {retry_record.result.value} {retry_record.error}"
        )
    must_complete = kind == "idempotent" or call_record.result is caller.Result.NOT_RUN
    if must_complete and retry_record.result is not caller.Result.COMPLETE:
        violations.append(
            f"the retry was not served: {retry_record.result.value} {retry_record.error}"
        )
    return violations


def is_applicable(cell: matrix.Cell, kind: str) -> bool:
    """Return whether requests of this kind pass through the cell's step."""
    return kind == "keyed" or cell.step not in _KEYED_STEPS
