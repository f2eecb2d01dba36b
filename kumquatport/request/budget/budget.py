"""Budget that limits retries to a share of the requests."""

MAX_BALANCE_RETRIES = 10.0


class RetryBudget:
    """Each request deposits a share of a retry; each retry withdraws one.

    The initial balance is zero, so retries never exceed their share of the
    requests made so far.
    """

    def __init__(self, share: float) -> None:
        """Start with an empty balance.

        Args:
            share: Retries per request, 0 to 1.
        """
        self._share = share
        self._balance: float = 0

    @property
    def balance(self) -> float:
        """Number of retries available now; may be fractional."""
        return self._balance

    def configure(self, share: float) -> None:
        """Apply the share of a new document."""
        self._share = share

    def deposit(self) -> None:
        """Add the share of one request to the balance."""
        self._balance = min(self._balance + self._share, MAX_BALANCE_RETRIES)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return whether one was available."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
