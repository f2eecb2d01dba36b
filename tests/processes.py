"""Starts, signals and stops processes of a test and reads their logs."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request
from collections import abc

ROOT = pathlib.Path(__file__).resolve().parent.parent
END_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05


class NotReadyError(Exception):
    """A process did not become ready in time or exited."""


class Process:
    """A process that a test may stop, suspend and restart."""

    def __init__(
        self,
        name: str,
        module: str,
        options: list[str],
        log: pathlib.Path,
        root: pathlib.Path = ROOT,
    ) -> None:
        """Prepare the process without starting it.

        Args:
            name: Name of the instance.
            module: Module to run with ``python -m``.
            options: Command line arguments.
            log: File for its output.
            root: Checkout whose module is run.
        """
        self.name = name
        self.module = module
        self.options = options
        self.log = log
        self._root = root
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        return self._popen is not None and self._popen.poll() is None

    @property
    def pid(self) -> int:
        if self._popen is None:
            raise NotReadyError(self.name)
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        return None if self._popen is None else self._popen.poll()

    def start(self) -> None:
        if self.running:
            return
        with self.log.open('ab') as output:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', self.module, *self.options],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=self._root,
                env={**os.environ, 'PYTHONPATH': str(self._root)},
            )

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.wait()

    def term(self) -> None:
        """Request a graceful stop without waiting for it."""
        self.signal(signal.SIGTERM)

    def suspend(self) -> None:
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.signal(signal.SIGCONT)

    def signal(self, signum: int) -> None:
        if self._popen is not None and self.running:
            self._popen.send_signal(signum)

    def wait(self, timeout_s: float = END_TIMEOUT_S) -> int | None:
        """Wait for the exit; return the exit code, None if still running."""
        if self._popen is None:
            return None
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def log_text(self) -> str:
        if not self.log.exists():
            return ''
        return self.log.read_text(errors='replace')


def end_all(
    processes: abc.Iterable[Process],
    timeout_s: float,
    second_signal_after_s: float | None = None,
) -> list[str]:
    """Stop processes gracefully; return those that had to be killed.

    Args:
        processes: Processes to stop; stopped ones are skipped.
        timeout_s: Kill the remaining processes after this time.
        second_signal_after_s: Send a second signal after this time, which
            ends graceful stops; None to send only one.
    """
    ending = [process for process in processes if process.running]
    for process in ending:
        process.resume()
        process.term()
    deadline = time.monotonic() + timeout_s
    if second_signal_after_s is not None:
        _send_second_signal(ending, second_signal_after_s)
    killed = []
    for process in ending:
        if process.wait(max(0.0, deadline - time.monotonic())) is None:
            process.kill()
            killed.append(process.name)
    return killed


def _send_second_signal(
    processes: abc.Sequence[Process], after_s: float
) -> None:
    deadline = time.monotonic() + after_s
    for process in processes:
        process.wait(max(0.0, deadline - time.monotonic()))
    for process in processes:
        process.term()


def get_json(url: str, timeout_s: float = 2.0) -> dict[str, typing.Any]:
    """Read JSON over HTTP."""
    with urllib.request.urlopen(url, timeout=timeout_s) as answer:
        return json.load(answer)


def post_json(url: str, content: object) -> dict[str, typing.Any]:
    """Send JSON over HTTP and return the JSON response."""
    request = urllib.request.Request(
        url,
        json.dumps(content).encode(),
        {'Content-Type': 'application/json'},
    )
    with urllib.request.urlopen(request, timeout=5.0) as answer:
        return json.load(answer)


def wait_ready(
    process: Process,
    url: str,
    timeout_s: float,
    is_ready: abc.Callable[[dict], bool] = lambda status: True,
) -> dict[str, typing.Any]:
    """Poll a URL until its JSON response satisfies ``is_ready``."""
    deadline = time.monotonic() + timeout_s
    status: dict[str, typing.Any] = {}
    while time.monotonic() < deadline:
        if not process.running:
            break
        try:
            status = get_json(url)
        except (OSError, ValueError):
            time.sleep(POLL_INTERVAL_S)
            continue
        if is_ready(status):
            return status
        time.sleep(POLL_INTERVAL_S)
    tail = process.log_text()[-2000:]
    raise NotReadyError(f'{process.name}: {status} {tail}')
