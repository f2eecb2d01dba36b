"""A budget that keeps retries below a share of requests."""

MAX_SAVED_RETRIES = 10.0


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
        self._saved: float = 0

    @property
    def saved(self) -> float:
        """Retries that may be made now."""
        return self._saved

    def configure(self, share: float) -> None:
        """Take the share of a new document."""
        self._share = share

    def earn(self) -> None:
        """Count one request."""
        self._saved = min(self._saved + self._share, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry if there is one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
