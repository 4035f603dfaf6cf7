"""Bound the retries of one service by the requests that it serves."""

import dataclasses

_TOKENS_PER_REQUEST = 0.1
_MAX_TOKENS = 10.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Be a token bucket: requests fill it by a tenth, each retry takes one whole token."""

    tokens: float = _MAX_TOKENS

    def deposit(self) -> None:
        """Count a first attempt."""
        self.tokens = min(_MAX_TOKENS, self.tokens + _TOKENS_PER_REQUEST)

    def try_withdraw(self) -> bool:
        """Say whether one more retry may be sent, and count it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
