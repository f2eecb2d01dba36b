"""Records the document versions that the processes of a deployment report."""

import threading
import time
import typing
from collections import abc

from tests import deployment

POLL_INTERVAL_S = 0.1


class VersionSample(typing.NamedTuple):
    """A document version reported by a process, 0 for none."""

    sampled_at: float
    name: str
    version: int


class VersionWatch:
    """Polls all processes in a thread until it is closed.

    Attributes:
        samples: All samples in order of time.
        skipped: Processes that are not polled because they are suspended.
    """

    def __init__(
        self,
        deployed: deployment.Deployment,
        names: abc.Iterable[str],
    ) -> None:
        """Start polling.

        Args:
            deployed: A started deployment.
            names: Names of the processes to poll.
        """
        self.samples: list[VersionSample] = []
        self.skipped: set[str] = set()
        self._deployed = deployed
        self._names = tuple(names)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop polling."""
        self._stopped.set()
        self._thread.join()

    def reset(self, name: str) -> None:
        """Discard the last version of a process, as after a restart."""
        self.samples.append(VersionSample(time.monotonic(), name, 0))

    def lagging(self, version: int, names: abc.Iterable[str]) -> list[str]:
        """Return the processes whose last version is lower."""
        latest = {sample.name: sample.version for sample in self.samples}
        return [name for name in names if latest.get(name, 0) < version]

    def wait_for(
        self,
        version: int,
        names: abc.Collection[str],
        timeout_s: float,
    ) -> float:
        """Wait until all report a version; return the elapsed seconds."""
        started = time.monotonic()
        while self.lagging(version, names):
            waited_s = time.monotonic() - started
            if waited_s > timeout_s:
                late_names = self.lagging(version, names)
                raise AssertionError(
                    f'not in force after {waited_s:.2f} s: {late_names}'
                )
            time.sleep(POLL_INTERVAL_S / 4)
        return time.monotonic() - started

    def regressions(self) -> list[tuple[VersionSample, VersionSample]]:
        """Return the samples with a lower version than before, in pairs."""
        highest: dict[str, VersionSample] = {}
        regressions = []
        for sample in self.samples:
            previous = highest.get(sample.name, sample)
            if 0 < sample.version < previous.version:
                regressions.append((previous, sample))
            if sample.version >= previous.version:
                highest[sample.name] = sample
        return regressions

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            for name in self._names:
                self._poll(name)

    def _poll(self, name: str) -> None:
        process = self._deployed.processes[name]
        if not process.running or name in self.skipped:
            return
        try:
            status = self._deployed.status(name)
        except (OSError, ValueError):
            return
        version = status['document_version']
        self.samples.append(VersionSample(time.monotonic(), name, version))
