"""Put the questions of all own holders to the policy service, one after the other."""

import asyncio
import collections.abc

from nutmegshelf import exceptions, policy

from nutmegshelf_entry import holder, logs, ports

_IDLE_S = 0.02
_RETRY_S = 0.1
# Beside the time that the service says it needs.
_SLACK_S = 1.0

_log = logs.get_logger("advice")

GetHolders = collections.abc.Callable[[], list[holder.Holder]]


class Advisor:
    """Own the line of questions; the service answers one call of an entry at a time."""

    def __init__(self, calls: ports.PolicyClient | None, holders: GetHolders) -> None:
        self._calls = calls
        self._holders = holders

    async def run(self) -> None:
        """Ask as long as there are questions."""
        while self._calls is not None:
            found = self._next()
            if found is None:
                await asyncio.sleep(_IDLE_S)
                continue
            await self._ask(self._calls, *found)

    def _next(self) -> tuple[holder.Holder, policy.Question] | None:
        for held in self._holders():
            question = held.scheduler.advice.pop_question()
            if question is not None:
                return held, question
        return None

    async def _ask(
        self, calls: ports.PolicyClient, held: holder.Holder, question: policy.Question
    ) -> None:
        asked_s = asyncio.get_running_loop().time()
        try:
            answer = await calls.request_tickets(
                question, held.get_advice_timeout_s(question) + _SLACK_S
            )
        except exceptions.AdviceError as error:
            _log.warning("Advice got no answer.", step=question.step, why=str(error))
            await asyncio.sleep(_RETRY_S)
            return
        held.scheduler.advice.record_answer(question, answer.tickets, answer.valid_s, asked_s)
        held.wake()
