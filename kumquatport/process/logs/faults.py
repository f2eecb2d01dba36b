"""Log a fault once when it begins and once when it clears.

Repeated failures in between are only counted.
"""

import collections
import typing
from collections import abc

from kumquatport.process.logs import const


class Reporter(typing.Protocol):
    """Function called with each outcome of an operation that may fail."""

    def __call__(self, error: Exception | None, key: str = '') -> None:
        """Report an outcome.

        Args:
            error: Error of the operation; None if it succeeded.
            key: Object of the operation if there are several, for example a
                peer; each has a fault of its own.
        """


def reporter(
    logger: typing.Any,  # noqa: ANN401
    fault_message: str,
    cleared_message: str,
) -> Reporter:
    """Return a reporter that logs only changes.

    Faults of further keys are ignored while ``MAX_FAULT_KEYS`` keys
    have one.

    Args:
        logger: Logger of the module that reports.
        fault_message: Message logged at level warning when a fault begins.
        cleared_message: Message logged at level info when it clears.
    """
    failure_counts: collections.Counter[str] = collections.Counter()

    def report(error: Exception | None, key: str = '') -> None:
        if error is None:
            _log_cleared(key)
        elif failure_counts[key] or len(failure_counts) < const.MAX_FAULT_KEYS:
            _log_fault(error, key)

    def _log_fault(error: Exception, key: str) -> None:
        failure_counts[key] += 1
        if failure_counts[key] == 1:
            logger.warning(fault_message, error=error, **_key_field(key))

    def _log_cleared(key: str) -> None:
        failures = failure_counts.pop(key, 0)
        if failures:
            logger.info(cleared_message, failures=failures, **_key_field(key))

    return report


def _key_field(key: str) -> abc.Mapping[str, str]:
    return {'key': key} if key else {}
