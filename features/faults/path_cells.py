"""Drive one request to a step, strike there, and check the promises from outside."""

import asyncio
import dataclasses

from nutmegshelf_standins import caller, network

from features import hosts
from features.faults import actions, tables

KINDS = ("idempotent", "unkeyed", "keyed")
_BODY_BYTES = 200_000
_ANSWER_BYTES = 200_000
_TIMEOUT_MS = 5000
_WORK_MS = 50
_SETTLE_S = 25.0
_FILLING = 120
_FILLING_WORK_MS = 300
_ENTRY = "entry-0"
_OTHER_ENTRY = "entry-1"
_KEYED_STEPS = ("claim", "store answer")


@dataclasses.dataclass(slots=True)
class _Trigger:
    """Strike when the deliveries of one request reach the step."""

    step: str
    token: str
    disturbance: actions.Disturbance
    sent_to: str = ""
    head_sent: bool = False
    answered: bool = False

    def tap(self, delivery: network.Delivery) -> network.DeliveryOutcome:
        """Watch a delivery; strike before it arrives."""
        self._follow(delivery)
        if not self.disturbance.struck and self._is_reached(delivery):
            self.disturbance.strike(self.sent_to)
            site = self.disturbance.site
            if not site.network.can_reach(delivery.source, delivery.target):
                return network.DeliveryOutcome(is_delivered=False)
        return self.disturbance.fate_of(delivery)

    def _follow(self, delivery: network.Delivery) -> None:
        data = delivery.data or b""
        if delivery.source == _ENTRY and delivery.target.startswith("minion"):
            if delivery.data is None and not self.head_sent:
                self.sent_to = delivery.target
            if b"x-token: " + self.token.encode() in data.lower():
                self.sent_to = delivery.target
        if delivery.source == self.sent_to and b"x-token: " + self.token.encode() in data.lower():
            self.answered = True

    def _is_reached(self, delivery: network.Delivery) -> bool:
        data = delivery.data
        to_minion = delivery.source == _ENTRY and delivery.target.startswith("minion")
        has_token = to_minion and data is not None and self.token.encode() in data
        head_was_sent, self.head_sent = self.head_sent, self.head_sent or has_token
        from_caller = (delivery.source, delivery.target) == ("caller", _ENTRY)
        reached = {
            "accept": from_caller and data is None,
            "claim": self._is_table_write(delivery) and not head_was_sent,
            "connect": to_minion and data is None,
            "send head": has_token,
            "send body": head_was_sent and to_minion and data is not None,
            "relay": self.answered,
            "store answer": self.answered and self._is_table_write(delivery),
        }
        return reached.get(self.step, False)

    def _is_table_write(self, delivery: network.Delivery) -> bool:
        data = delivery.data or b""
        writes = data.startswith((b"POST /table", b"PUT /objects")) and b"entries/" not in data
        return delivery.source == _ENTRY and delivery.target == "platform" and writes


async def run(site: hosts.Hosts, cell: tables.Cell, kind: str) -> list[str]:
    """Run one cell for one kind of request; give the promises that were broken."""
    token = "target"
    disturbance = actions.Disturbance(site, cell.fault, _ENTRY)
    trigger = _Trigger(cell.step, token, disturbance)
    filling = []
    if cell.step == "queue":
        filling = [_fill(site, number) for number in range(_FILLING)]
        await asyncio.sleep(0.02)
    site.network.interceptor = trigger.tap
    first = asyncio.create_task(_send(site, kind, token, _ENTRY))
    if cell.step in ("queue", "await"):
        await _until_step(site, cell.step, token)
        disturbance.strike(trigger.sent_to)
    done = await first
    await asyncio.sleep(actions.OUTAGE_S)
    disturbance.heal()
    await asyncio.sleep(_SETTLE_S - actions.OUTAGE_S)
    await asyncio.gather(*filling)
    broken = [] if disturbance.struck else [f"the step {cell.step!r} was not reached"]
    broken += _check_first(site, kind, done, disturbance)
    broken += await _check_repeat(site, kind, token, done, disturbance)
    return broken


def _fill(site: hosts.Hosts, number: int) -> "asyncio.Task[object]":
    return asyncio.create_task(
        site.call(f"fill-{number}", _ENTRY, method="GET", work_ms=_FILLING_WORK_MS)
    )


async def _until_step(site: hosts.Hosts, step: str, token: str) -> None:
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
            response_bytes=_ANSWER_BYTES,
            chunked=True,
            timeout_ms=_TIMEOUT_MS,
            work_ms=_WORK_MS,
        )


def _check_first(
    site: hosts.Hosts, kind: str, done: caller.CallRecord, disturbance: actions.Disturbance
) -> list[str]:
    broken = []
    runs = site.count_runs()["target"]
    entry_is_silent = disturbance.fault.startswith("entry paused")
    if kind != "idempotent" and runs > 1:
        broken.append(f"ran {runs} times")
    if done.result is caller.Result.WRONG_BODY:
        broken.append("the answer was cut short or another's")
    if done.result is caller.Result.COMPLETE and not runs:
        broken.append("a whole answer without a run")
    if done.result is caller.Result.NOT_RUN and runs:
        broken.append(f"refused as not-run, but ran ({done.error})")
    if done.result is caller.Result.TIMED_OUT and not entry_is_silent:
        broken.append("no final answer")
    if done.latency_s > _TIMEOUT_MS / 1000 + 1 and not entry_is_silent:
        broken.append(f"the final answer took {done.latency_s:.1f} s")
    return broken


async def _check_repeat(
    site: hosts.Hosts,
    kind: str,
    token: str,
    done: caller.CallRecord,
    disturbance: actions.Disturbance,
) -> list[str]:
    may_repeat = kind != "unkeyed" or done.result is caller.Result.NOT_RUN
    if not may_repeat:
        return []
    again = await _send(site, kind, token, _OTHER_ENTRY)
    runs = site.count_runs()[token]
    broken = []
    if kind != "idempotent" and runs > 1:
        broken.append(f"ran {runs} times after the repeat")
    settled = (caller.Result.COMPLETE, caller.Result.UNKNOWN)
    if kind == "keyed" and again.result not in settled:
        broken.append(f"the repeat ended {again.result.value} {again.error}")
    if kind == "keyed" and done.result is caller.Result.COMPLETE is not again.result:
        broken.append(f"the repeat of a whole answer ended {again.result.value} {again.error}")
    must_serve = kind == "idempotent" or done.result is caller.Result.NOT_RUN
    if must_serve and again.result is not caller.Result.COMPLETE:
        broken.append(f"the repeat was not served: {again.result.value} {again.error}")
    return broken


def applies(cell: tables.Cell, kind: str) -> bool:
    """Say whether this kind of request comes through the step."""
    return kind == "keyed" or cell.step not in _KEYED_STEPS
