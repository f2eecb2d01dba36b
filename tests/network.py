"""Reserves loopback addresses so that concurrent runs do not collide."""

import atexit
import functools
import os
import socket

DEFAULT_BLOCK = '127.10'
BLOCK_VARIABLE = 'KUMQUATPORT_TEST_BLOCK'
CLAIM_PORT = 39000
MAX_NETWORKS = 250
MAX_AGENTS = 80
MAX_BALANCERS = 10
HTTP_PORT = 9000
STATSD_PORT = 8125
SERVICE_PORT = 4433
BACKEND_PORT = 8000
POOL_HOSTS = range(2, 250)

Endpoint = tuple[str, int]


class AddressesExhaustedError(Exception):
    """No network of the block, or no address of a network, is left."""


class Network:
    """A /24 network of the loopback block, reserved until it is closed."""

    def __init__(self) -> None:
        self._claim_socket, self._prefix = _claim_prefix()
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
        return self._host(20 + _check_index(index, MAX_BALANCERS))

    def agent(self, index: int) -> str:
        return self._host(50 + _check_index(index, MAX_AGENTS))

    def proxy_address(self, address: str) -> str:
        """Return the address of the fault proxy for an instance."""
        return self._host(int(address.rsplit('.', 1)[1]) + 100)

    @property
    def prefix(self) -> str:
        """First three octets of its addresses."""
        return self._prefix

    def close(self) -> None:
        self._claim_socket.close()

    def _host(self, number: int) -> str:
        return f'{self._prefix}.{number}'


class AddressPool:
    """Hands out addresses, of further networks once one has no more."""

    def __init__(self) -> None:
        self._networks: list[Network] = []
        self._left: list[int] = []

    def take(self) -> str:
        """Return an address that was not handed out before."""
        if not self._left:
            self._networks.append(Network())
            self._left = list(reversed(POOL_HOSTS))
        return f'{self._networks[-1].prefix}.{self._left.pop()}'

    def close(self) -> None:
        for one in self._networks:
            one.close()


@functools.cache
def claim_network(name: str) -> Network:
    """Claim a network for a test module until this process exits.

    Args:
        name: Purpose; the same name returns the same network.
    """
    claimed = Network()
    atexit.register(claimed.close)
    return claimed


def _check_index(index: int, limit: int) -> int:
    if index >= limit:
        raise AddressesExhaustedError(
            f'only {limit} addresses are reserved for instances of this kind'
        )
    return index


def _claim_prefix() -> tuple[socket.socket, str]:
    block = os.environ.get(BLOCK_VARIABLE, DEFAULT_BLOCK)
    for offset in range(MAX_NETWORKS):
        net = f'{block}.{(os.getpid() + offset) % MAX_NETWORKS + 1}'
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((f'{net}.1', CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        claim.listen()
        return claim, net
    raise AddressesExhaustedError(f'{block}.0.0/16 is in use')
