"""A budget that keeps retries below a share of requests."""

MAX_BALANCE_RETRIES = 10.0


class RetryBudget:
    """Each request earns a share of a retry; each retry spends one.

    Nothing is given in advance, so retries never exceed the share of the
    requests made so far.
    """

    def __init__(self, share: float) -> None:
        """Begin empty.

        Args:
            share: Retries for each request, 0 to 1.
        """
        self._share = share
        self._balance: float = 0

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def configure(self, share: float) -> None:
        """Take the share of a new document."""
        self._share = share

    def deposit(self) -> None:
        """Count one request."""
        self._balance = min(self._balance + self._share, MAX_BALANCE_RETRIES)

    def try_withdraw(self) -> bool:
        """Take one retry if there is one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
