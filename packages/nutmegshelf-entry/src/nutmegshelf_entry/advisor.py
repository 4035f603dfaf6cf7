"""Send the questions of all holders of this entry to the policy service, one at a time."""

import asyncio
import collections.abc

from nutmegshelf import exceptions, policy

from nutmegshelf_entry import holder, logs, ports

_IDLE_INTERVAL_S = 0.02
_RETRY_DELAY_S = 0.1
# Added to the time that the service states it needs.
_TIMEOUT_MARGIN_S = 1.0

_log = logs.get_logger("advice")

HolderLister = collections.abc.Callable[[], list[holder.Holder]]


class Advisor:
    """The loop that asks the policy service, which answers one call of an entry at a time."""

    def __init__(self, client: ports.PolicyClient | None, list_holders: HolderLister) -> None:
        self._client = client
        self._list_holders = list_holders

    async def run(self) -> None:
        """Ask the pending questions until cancelled; return at once without a policy service."""
        while self._client is not None:
            pending = self._pop_question()
            if pending is None:
                await asyncio.sleep(_IDLE_INTERVAL_S)
                continue
            await self._ask(self._client, *pending)

    def _pop_question(self) -> tuple[holder.Holder, policy.Question] | None:
        for service_holder in self._list_holders():
            question = service_holder.scheduler.advice.pop_question()
            if question is not None:
                return service_holder, question
        return None

    async def _ask(
        self, client: ports.PolicyClient, service_holder: holder.Holder, question: policy.Question
    ) -> None:
        asked_s = asyncio.get_running_loop().time()
        try:
            answer = await client.request_tickets(
                question, service_holder.get_advice_timeout_s(question) + _TIMEOUT_MARGIN_S
            )
        except exceptions.AdviceError as error:
            _log.warning("The policy service did not answer.", step=question.step, why=str(error))
            await asyncio.sleep(_RETRY_DELAY_S)
            return
        service_holder.scheduler.advice.record_answer(
            question, answer.tickets, answer.valid_s, asked_s
        )
        service_holder.wake()
