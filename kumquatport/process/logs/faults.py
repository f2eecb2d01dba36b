"""Log a fault once when it begins and once when it clears."""

import collections
import typing
from collections import abc

from kumquatport.process.logs import const


class Reporter(typing.Protocol):
    """Takes each outcome of something that may fail."""

    def __call__(self, error: Exception | None, key: str = '') -> None:
        """Note an outcome.

        Args:
            error: What failed; None when it worked.
            key: Which of several things it is about, for example a peer.
        """


def reporter(
    logger: typing.Any,  # noqa: ANN401
    fault_message: str,
    cleared_message: str,
) -> Reporter:
    """Build a reporter that logs only changes.

    Args:
        logger: Logger of the module that reports.
        fault_message: Message when a fault begins, at level warning.
        cleared_message: Message when it clears, at level info.
    """
    active: collections.Counter[str] = collections.Counter()

    def report(error: Exception | None, key: str = '') -> None:
        if error is None:
            _log_cleared(key)
        elif active[key] or len(active) < const.MAX_FAULT_KEYS:
            _log_fault(error, key)

    def _log_fault(error: Exception, key: str) -> None:
        active[key] += 1
        if active[key] == 1:
            logger.warning(fault_message, error=error, **_key_field(key))

    def _log_cleared(key: str) -> None:
        failures = active.pop(key, 0)
        if failures:
            logger.info(cleared_message, failures=failures, **_key_field(key))

    return report


def _key_field(key: str) -> abc.Mapping[str, str]:
    return {'key': key} if key else {}
