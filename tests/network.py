"""Loopback addresses of one run, claimed so that runs don't meet."""

import atexit
import functools
import os
import socket

DEFAULT_BLOCK = '127.10'
BLOCK_VARIABLE = 'KUMQUATPORT_TEST_BLOCK'
CLAIM_PORT = 39000
NETWORKS = 250
MAX_AGENTS = 80
MAX_BALANCERS = 10
HTTP_PORT = 9000
STATSD_PORT = 8125
SERVICE_PORT = 4433
BACKEND_PORT = 8000

Endpoint = tuple[str, int]


class NoNetworkError(Exception):
    """All networks of the block are in use."""


class Network:
    """A /24 of the loopback block, this run's own until it is closed."""

    def __init__(self) -> None:
        self._claim, self._net = _claim()
        self.platform = self._host(2), HTTP_PORT
        self.statsd = self._host(3), STATSD_PORT
        self.statsd_control = self._host(3), HTTP_PORT
        self.fabric_control = self._host(4), HTTP_PORT
        self.fabric_upstream = self._host(5)
        self.faults = self._host(6)
        self.console = self._host(30)
        self.caller = self._host(250)

    def service(self, index: int) -> Endpoint:
        return self._host(10 + index), SERVICE_PORT

    def balancer(self, index: int) -> str:
        return self._host(20 + _below(index, MAX_BALANCERS))

    def agent(self, index: int) -> str:
        return self._host(50 + _below(index, MAX_AGENTS))

    def shadow(self, address: str) -> str:
        """Tell the fault proxy's stand-in address of an instance."""
        return self._host(int(address.rsplit('.', 1)[1]) + 100)

    @property
    def prefix(self) -> str:
        """The first three numbers of its addresses."""
        return self._net

    def close(self) -> None:
        self._claim.close()

    def _host(self, number: int) -> str:
        return f'{self._net}.{number}'


@functools.cache
def held(name: str) -> Network:
    """Claim a network for a test module, until this process ends.

    Args:
        name: What it is for; the same name gives the same network.
    """
    claimed = Network()
    atexit.register(claimed.close)
    return claimed


def _below(index: int, limit: int) -> int:
    if index >= limit:
        raise NoNetworkError(f'at most {limit} of them')
    return index


def _claim() -> tuple[socket.socket, str]:
    block = os.environ.get(BLOCK_VARIABLE, DEFAULT_BLOCK)
    for offset in range(NETWORKS):
        net = f'{block}.{(os.getpid() + offset) % NETWORKS + 1}'
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((f'{net}.1', CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        claim.listen()
        return claim, net
    raise NoNetworkError(f'{block}.0.0/16 is in use')
