"""Memberships in this process, and an in-memory object API."""

import asyncio
import json

from kumquatport import exceptions, objects
from kumquatport.version.replication import membership
from tests import network
from tests.builders import members

KEY = b'k' * 32
BALANCERS = network.claim_network('balancers').prefix
AGENTS = network.claim_network('agents').prefix


class MemoryPlatform:
    """In-memory platform client that can be made unavailable."""

    def __init__(self):
        self.down = False
        self.revision = 0
        self.objects = {}
        self.call_count = 0

    async def async_get(self, key):
        self._count_call()
        if key not in self.objects:
            raise exceptions.ObjectMissingError(key)
        return self.objects[key]

    async def async_put(self, key, value, expected):
        self._count_call()
        current = self.objects.get(key)
        version = current.version if current else 0
        if expected not in (None, version):
            raise exceptions.VersionConflictError(key)
        self.revision += 1
        self.objects[key] = objects.StoredObject(key, version + 1, value)
        return version + 1

    async def async_delete(self, key, expected):
        self._count_call()
        self.objects.pop(key, None)

    async def async_list(self, prefix):
        self._count_call()
        found = [
            stored
            for key, stored in self.objects.items()
            if key.startswith(prefix)
        ]
        return objects.Listing(self.revision, tuple(found))

    async def async_page(self, kind, after):
        listing = await self.async_list(f'{kind}/')
        found = sorted(item for item in listing.objects if item.name > after)
        return listing._replace(objects=tuple(found))

    async def async_watch(self, prefix, since, timeout):
        self._count_call()
        waited_s = 0
        while self.revision <= since and waited_s < timeout:
            await asyncio.sleep(0.05)
            waited_s += 0.05
            self._check_available()
        return await self.async_list(prefix)

    def _count_call(self):
        self.call_count += 1
        self._check_available()

    def _check_available(self):
        if self.down:
            raise exceptions.PlatformUnavailableError('down')


def document(number=0, out=()):
    """Build a small encoded document that the memberships can parse."""
    domains = [
        {'name': name, 'region': 'accra', 'out': name in out}
        for name in ('accra-a', 'accra-b', 'accra-c')
    ]
    content = {'number': number, 'failure_domains': domains, 'rules': []}
    return json.dumps(content).encode()


def balancer(number, platform, seeds=(), net=''):
    """Build the membership of a balancer without starting it."""
    own = members.balancer(
        instance=f'balancer-{number}',
        address=f'{net or BALANCERS}.{number}',
        state='starting',
    )
    return membership.Membership(own, seeds, KEY, platform, json.loads)


def agent(number, platform, seeds=(), net=''):
    """Build the membership of an agent without starting it."""
    own = members.agent(
        instance=f'agent-{number}',
        address=f'{net or AGENTS}.{number}',
        state='starting',
    )
    return membership.Membership(own, seeds, KEY, platform, json.loads)
