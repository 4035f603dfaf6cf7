"""Limit the retries of a service in proportion to its requests."""

import dataclasses

_TOKENS_PER_REQUEST = 0.1
_MAX_TOKENS = 10.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """A token bucket: each request adds a tenth of a token, each retry takes a whole one."""

    tokens: float = _MAX_TOKENS

    def deposit(self) -> None:
        """Add the tokens for a first attempt."""
        self.tokens = min(_MAX_TOKENS, self.tokens + _TOKENS_PER_REQUEST)

    def try_withdraw(self) -> bool:
        """Take a token for a retry and return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
