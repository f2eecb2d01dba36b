"""Stand-ins for clients, backends, routers, the store and the operator.

The scripts of the review start the project's own programs as separate
processes, with the commands of ``deploy/system.toml``, and connect them to the
stand-ins in this module, which run in the process of the script. All addresses
are loopback addresses; each machine has one of its own.
"""

import asyncio
import atexit
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Ports of every machine; the addresses differ.
PEER_PORT = 7720
DATAGRAM_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
OUTBOUND_PORT = 8162
APP_PORT = 8165
STORE_PORT = 8169
RUN_LIMIT_S = 115.0

SYN, FIN, ACK, BOUNCED, RST = 1, 8, 16, 32, 128
HEADER = struct.Struct('<IIHHIIIB5sHI')
FLOW = struct.Struct('<IIHH')

SETTINGS = """NodeName = "{name}"
Role = "{role}"
MachineClass = "{machine_class}"
Serves = ["{machine_class}"]
Ip = "{address}"
Zone = "{zone}"
Region = "lakes"
InternalPorts = [7720, 7735]
Seeds = []
Bootstrap = {bootstrap}
LossCounted = false
Discovery = "local"
Entry = "bgp_announce"
HeartbeatMs = {heartbeat_ms}
Contracts = ["base","drain","config","cost","recover","flows","places","platform"]
Hash = "mod"
Form = "agent"
{extra}
[Zones]
duluth = "lakes"
kenosha = "lakes"
saginaw = "lakes"
[Listen]
DatagramAddr = "{address}:8172"
Ready = "{address}:8167"
{listen}
[Limits]
CpuShare = 0.645
Cores = 1
MemoryMb = 300
MaxFds = 4096
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxStretchMs = 12000
WarmupFactor = 1.5
WarmupSlack = 5
EvacMs = 5000
RecoverS = 12
ReorderMs = 2000
FlowTtlS = 60
[platform]
Address = "{store}"
Form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


def to_number(address):
    return int.from_bytes(socket.inet_aton(address))


def checksum(src, dst, sport, dport, seq, ack, flags, data):
    body = struct.pack(
        '<IIHHIIBH',
        src,
        dst,
        sport,
        dport,
        seq,
        ack,
        flags & ~BOUNCED,
        len(data),
    )
    return zlib.crc32(body + data + b'key') or 1


def pack(src, dst, sport, dport, seq, ack, flags, data=b''):
    total = checksum(src, dst, sport, dport, seq, ack, flags, data)
    return (
        HEADER.pack(
            src,
            dst,
            sport,
            dport,
            total,
            seq,
            ack,
            flags,
            bytes(5),
            len(data),
            0,
        )
        + data
    )


class Packet:
    """A parsed packet."""

    def __init__(self, datagram):
        fields = HEADER.unpack_from(datagram)
        self.src, self.dst, self.sport, self.dport, self.sum = fields[:5]
        self.seq, self.ack, self.flags, self.pad, self.len, self.echo = fields[
            5:
        ]
        self.data = datagram[HEADER.size :]
        self.datagram = datagram

    @property
    def is_genuine(self):
        return self.len == len(self.data) and self.sum == checksum(
            self.src,
            self.dst,
            self.sport,
            self.dport,
            self.seq,
            self.ack,
            self.flags,
            self.data,
        )


class Udp(asyncio.DatagramProtocol):
    """A UDP socket that passes its datagrams to a function."""

    def __init__(self, handle):
        self._handle = handle

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, datagram, sender):
        self._handle(datagram, sender)

    def error_received(self, error):
        """Ignore that an earlier datagram was refused."""


async def listen_udp(address, port, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Udp(handle), local_addr=(address, port)
    )
    return transport


async def call(method, endpoint, path, body=None, timeout=1.0):
    """Send an HTTP request; return status and body, status 0 if it failed."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*endpoint)
            try:
                payload = b'' if body is None else json.dumps(body).encode()
                head = (
                    f'{method} {path} HTTP/1.1\r\nHost: {endpoint[0]}\r\nConnection: close\r\n'
                    f'Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n'
                )
                writer.write(head.encode() + payload)
                answer = await reader.read()
            finally:
                writer.close()
        head, _, rest = answer.partition(b'\r\n\r\n')
        return int(head.split()[1]), rest
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0, b''


class Store:
    """The platform's store, with a revision counter, watches and an era."""

    def __init__(self, world):
        self.world = world
        self.objects = {}
        self.history = []
        self.revision = 100
        self.oldest = 100
        self.era = 1
        self.is_away = False
        self.changed = asyncio.Event()

    async def start(self, address):
        self.endpoint = (address, STORE_PORT)
        self.server = await asyncio.start_server(self._serve, *self.endpoint)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Create or replace an object; return it."""
        former = self.objects.get((kind, name))
        if former is not None and former['spec'] == spec:
            return former
        self.revision += 1
        meta = {
            'Name': name,
            'Revision': self.revision,
            'Created': former['meta']['Created'] if former else self.revision,
            'Finalizers': [],
            'Deleting': False,
        }
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[kind, name] = stored
        self.history.append((self.revision, kind, stored, False))
        self.wake()
        return stored

    def delete(self, kind, name):
        stored = self.objects.pop((kind, name))
        self.revision += 1
        gone = {**stored, 'meta': {**stored['meta'], 'Revision': self.revision}}
        self.history.append((self.revision, kind, gone, True))
        self.wake()

    def copy(self):
        return self.revision, dict(self.objects)

    def restore(self, copy):
        """Come back from a copy: later writes are gone, the era rises."""
        self.revision, objects = copy
        self.objects = dict(objects)
        self.history = []
        self.oldest = self.revision
        self.era += 1
        self.wake()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().split('\r\n')
                method, target, _ = lines[0].split(' ')
                fields = dict(
                    line.lower().split(': ', 1)
                    for line in lines[1:]
                    if ': ' in line
                )
                body = await reader.readexactly(
                    int(fields.get('content-length', 0))
                )
                status, answer = await self._answer(method, target, body)
                payload = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Store-Era: {self.era}\r\nContent-Length: {len(payload)}\r\n\r\n'.encode()
                    + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        if self.is_away:
            return 503, {}
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split('/')][2:]
        if method == 'GET' and len(parts) == 1:
            if 'Watch' in query:
                return await self._watch(parts[0], query)
            return 200, self._page(parts[0], query.get('after', ''))
        self.world.note('store', call=f'{method} {target.partition("?")[0]}')
        payload = json.loads(body) if body else {}
        if method == 'POST':
            key = parts[0], payload['meta']['Name']
            if key in self.objects:
                return 409, self.objects[key]
            return 200, self.put(*key, payload['spec'])
        key = parts[0], parts[1]
        stored = self.objects.get(key)
        if stored is None:
            return 404, {}
        expected = query.get(
            'Revision', payload.get('meta', {}).get('Revision')
        )
        if expected is not None and int(expected) != stored['meta']['Revision']:
            return 409, stored
        if method == 'GET':
            return 200, stored
        if method == 'DELETE':
            self.delete(*key)
            return 200, {}
        return 200, self.put(*key, payload['spec'])

    def _page(self, kind, after):
        names = sorted(
            name for one, name in self.objects if one == kind and name > after
        )
        return {
            'items': [self.objects[kind, name] for name in names[:500]],
            'HasMore': len(names) > 500,
            'StoreRevision': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['Watch'])
        era = self.era
        until = time.monotonic() + int(query.get('WaitMs', 30000)) / 1000
        while True:
            if era != self.era or not self.oldest <= since <= self.revision:
                return 410, {}
            events = [
                {'Object': stored, 'Deleted': deleted}
                for revision, one, stored, deleted in self.history
                if one == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'StoreRevision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue


class Machine:
    """A machine with one process of the system."""

    def __init__(self, world, name, zone, service=''):
        self.world = world
        self.name = name
        self.zone = zone
        self.service = service
        self.address = world.take_address()
        self.popen = None
        self.misses = 2
        self.is_watched = False
        self.is_held = False

    @property
    def is_frontend(self):
        return not self.service

    def write_settings(self, bootstrap):
        extra = listen = ''
        if self.service:
            extra = (
                f'app = "{self.address}:{APP_PORT}"\nService = "{self.service}"'
            )
            listen = (
                f'outbound = "{self.address}:{OUTBOUND_PORT}"\n'
                f'Control = "{self.address}:{CONTROL_PORT}"'
            )
        text = SETTINGS.format(
            name=self.name,
            role='agent' if self.service else 'balancer',
            machine_class='side' if self.service else 'frontend',
            address=self.address,
            zone=self.zone,
            bootstrap=str(bootstrap).lower(),
            heartbeat_ms=self.world.heartbeat_ms,
            extra=extra,
            listen=listen,
            store='{}:{}'.format(*self.world.store.endpoint),
        )
        self.settings = self.world.folder / f'{self.name}.toml'
        self.settings.write_text(text)

    def start(self, bootstrap=False):
        """Start the process with the command of the deploy file."""
        self.write_settings(bootstrap)
        role = 'agent' if self.service else 'balancer'
        command = shlex.split(self.world.deploy['roles'][role]['run'])
        kept = ('PATH', 'HOME', 'LANG')
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['KUMQUATPORT_SETTINGS'] = str(self.settings)
        with (self.world.folder / f'{self.name}.log').open('ab') as log:
            self.popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_watched = True
        self.world.note('start', machine=self.name, address=self.address)

    def signal(self, number):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)
            self.world.note(
                'signal', machine=self.name, signal=signal.Signals(number).name
            )

    def remove(self):
        """Lose the machine for good."""
        self.is_watched = False
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def log(self):
        return (self.world.folder / f'{self.name}.log').read_text(
            errors='replace'
        )


class Connection:
    """One flow at a backend."""

    def __init__(self, peer_seq, own_seq):
        self.is_open = False
        self.expected = (peer_seq + 1) & 0xFFFFFFFF
        self.own_seq = own_seq
        self.next_seq = (own_seq + 1) & 0xFFFFFFFF
        self.answers = {}
        self.unacknowledged = 0


class Backend:
    """A backend beside an agent: flows, requests and heartbeats."""

    def __init__(self, world, machine, identifier, concurrency=5):
        self.world = world
        self.machine = machine
        self.identifier = identifier
        self.concurrency = concurrency
        self.state = 'ready'
        self.sequence = 0
        self.flows = {}
        self.opened = []
        self.strays = []
        self.own = []
        self.is_up = False
        self.acknowledged_draining_at = None

    async def start(self):
        self.born = time.time_ns() // 1_000_000
        self.is_up = True
        address = self.machine.address
        self.udp = await listen_udp(address, APP_PORT, self._receive)
        self.tcp = await asyncio.start_server(self._health, address, APP_PORT)
        self.task = asyncio.create_task(self._beat())
        self.world.backends.append(self)
        self.world.note(
            'backend starts', backend=self.identifier, machine=self.machine.name
        )

    async def stop(self, reason='ends'):
        self.is_up = False
        self.task.cancel()
        self.udp.close()
        self.tcp.close()
        self.world.note('backend ' + reason, backend=self.identifier)

    async def _health(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            status = 200 if self.state == 'ready' else 503
            writer.write(
                f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def body(self):
        return {
            'Service': self.machine.service,
            'Address': f'{self.machine.address}:{APP_PORT}',
            'Zone': self.machine.zone,
            'Version': 'v1',
            'Concurrency': self.concurrency,
            'State': self.state,
            'WarmupLeftMs': 0,
            'Sequence': self.sequence,
            'born': self.born,
        }

    async def beat_once(self):
        self.sequence += 1
        state = self.state
        endpoint = self.machine.address, CONTROL_PORT
        status, _ = await call(
            'PUT', endpoint, f'/instances/{self.identifier}', self.body()
        )
        is_acknowledged = 200 <= status < 300
        if (
            is_acknowledged
            and state == 'draining'
            and self.acknowledged_draining_at is None
        ):
            self.acknowledged_draining_at = time.monotonic()
            self.world.note('draining acknowledged', backend=self.identifier)
        return is_acknowledged

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(
                self.world.heartbeat_ms / 1000 * random.uniform(0.95, 1.05)
            )

    def _send(self, packet_bytes):
        self.udp.sendto(packet_bytes, (self.machine.address, OUTBOUND_PORT))

    def _receive(self, datagram, sender):
        if not self.is_up:
            return
        packet = Packet(datagram)
        key = datagram[:12]
        if not packet.is_genuine:
            self.world.fail(
                'UNASKED',
                f'{self.identifier} got a packet that its sender did not write',
            )
            return
        connection = self.flows.get(key)
        if packet.flags & SYN:
            if connection is None:
                connection = Connection(packet.seq, random.getrandbits(32))
                self.flows[key] = connection
            self._send_back(
                packet, connection.own_seq, connection.expected, SYN | ACK
            )
            return
        if connection is None:
            self.strays.append((time.monotonic(), key))
            bounced = (
                datagram[:24]
                + bytes((packet.flags | BOUNCED,))
                + bytes(5)
                + datagram[30:]
            )
            self._send(bounced)
            return
        if packet.flags & RST:
            self.flows.pop(key)
            return
        if not connection.is_open:
            if packet.ack != (connection.own_seq + 1) & 0xFFFFFFFF:
                self._send_back(packet, packet.ack, packet.seq, RST)
                return
            connection.is_open = True
            self.opened.append((time.monotonic(), key))
            self.world.on_open(key, self)
        self.own.append((time.monotonic(), key))
        if packet.data:
            self._on_data(packet, key, connection)
        if packet.flags & FIN:
            self._send_back(
                packet,
                connection.next_seq,
                packet.seq + packet.len + 1,
                FIN | ACK,
            )
            self.flows.pop(key, None)

    def _on_data(self, packet, key, connection):
        """Run a request that fits into one packet; answer repeats again."""
        name = (
            packet.data.split(b'X-Request-Id: ')[1].split(b'\r\n')[0].decode()
        )
        if packet.seq in connection.answers:
            answer = connection.answers[packet.seq]
            if answer is None:
                self._send_back(
                    packet, connection.next_seq, connection.expected, ACK
                )
            else:
                self._send_back(
                    packet, answer[0], connection.expected, ACK, answer[1]
                )
            return
        if packet.seq != connection.expected:
            return
        connection.answers[packet.seq] = None
        connection.expected = (packet.seq + packet.len) & 0xFFFFFFFF
        self.world.on_run(name, self)
        work_s = random.uniform(0.03, 0.08)
        asyncio.get_running_loop().call_later(
            work_s, self._finish, packet, key, connection, name
        )

    def _finish(self, packet, key, connection, name):
        if not self.is_up or self.flows.get(key) is not connection:
            return
        body = f'{name} by {self.identifier}'.encode()
        data = (
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body
        )
        seq = connection.next_seq
        connection.next_seq = (seq + len(data)) & 0xFFFFFFFF
        connection.answers[packet.seq] = seq, data
        self._send_back(packet, seq, connection.expected, ACK, data)

    def _send_back(self, packet, seq, ack, flags, data=b''):
        self._send(
            pack(
                packet.dst,
                packet.src,
                packet.dport,
                packet.sport,
                seq & 0xFFFFFFFF,
                ack & 0xFFFFFFFF,
                flags,
                data,
            )
        )


class Client:
    """A client that sends one request after the other.

    Args:
        is_long: Whether a flow carries many requests.
        pause_s: Seconds between two requests.
    """

    def __init__(
        self, world, zone, route, is_long, pause_s, deadline_s=2.5, retries=2
    ):
        self.world = world
        self.zone = zone
        self.route = route
        self.is_long = is_long
        self.pause_s = pause_s
        self.deadline_s = deadline_s
        self.retries = retries
        self.address = world.take_address()
        self.port = 1024 + random.randrange(1000)
        self.flow = None
        self.inbox = asyncio.Queue()

    async def start(self):
        self.udp = await listen_udp(self.address, DATAGRAM_PORT, self._receive)
        self.task = asyncio.create_task(self._run())

    def _receive(self, datagram, sender):
        packet = Packet(datagram)
        if self.flow is None or datagram[:12] != FLOW.pack(
            self.flow['dst'],
            self.flow['src'],
            self.flow['dport'],
            self.flow['sport'],
        ):
            return
        if packet.sum == 0 and packet.flags == RST:
            self.world.on_reset(self, sender[0])
        elif not packet.is_genuine:
            self.world.fail(
                'MIXED', f'client {self.address} got a packet that nobody wrote'
            )
            return
        self.inbox.put_nowait(packet)

    def send(self, seq, ack, flags, data=b''):
        flow = self.flow
        datagram = pack(
            flow['src'],
            flow['dst'],
            flow['sport'],
            flow['dport'],
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            flags,
            data,
        )
        self.world.route(self.zone, datagram)

    async def _next(self, timeout):
        try:
            return await asyncio.wait_for(self.inbox.get(), timeout)
        except TimeoutError:
            return None

    async def _run(self):
        await asyncio.sleep(random.uniform(0, self.pause_s))
        while True:
            await self.request()
            await asyncio.sleep(self.pause_s * random.uniform(0.8, 1.2))

    async def request(self):
        """Send a request, with retries; record whether it was served."""
        sent_at = time.monotonic()
        until = sent_at + self.deadline_s
        served = False
        tries = 0
        while tries <= self.retries and time.monotonic() < until and not served:
            tries += 1
            if self.flow is None and not await self._open(until):
                continue
            served = await self._exchange(until)
            if not served or not self.is_long:
                self._close(served)
        self.world.on_request(self, sent_at, served, tries)
        return served

    async def _open(self, until):
        self.port += 1
        self.flow = {
            'src': to_number(self.address),
            'dst': to_number(self.route[0]),
            'sport': self.port,
            'dport': self.route[1],
            'seq': random.getrandbits(32),
            'ack': 0,
            'opened_at': 0.0,
        }
        self.inbox = asyncio.Queue()
        started = time.monotonic()
        for copy, ends in enumerate((0.2, 0.6, 1.4)):
            self.send(self.flow['seq'], copy, SYN)
            while (left := min(started + ends, until) - time.monotonic()) > 0:
                packet = await self._next(left)
                if packet is None:
                    break
                if packet.flags & RST:
                    self.flow = None
                    return False
                if packet.flags & SYN:
                    self.flow['seq'] = (self.flow['seq'] + 1) & 0xFFFFFFFF
                    self.flow['ack'] = (packet.seq + 1) & 0xFFFFFFFF
                    return True
        self.flow = None
        return False

    async def _exchange(self, until):
        flow = self.flow
        name = self.world.new_request()
        data = (
            f'POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: {name}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()
        wait_s = 0.2
        while time.monotonic() < until:
            self.send(flow['seq'], flow['ack'], ACK, data)
            resend_at = time.monotonic() + wait_s
            while (left := min(resend_at, until) - time.monotonic()) > 0:
                packet = await self._next(left)
                if packet is None:
                    break
                if packet.flags & RST:
                    return False
                if packet.data and packet.seq == flow['ack']:
                    if name.encode() not in packet.data:
                        self.world.fail('MIXED', f'{name} got {packet.data!r}')
                        return False
                    flow['seq'] = (flow['seq'] + len(data)) & 0xFFFFFFFF
                    flow['ack'] = (packet.seq + packet.len) & 0xFFFFFFFF
                    self.send(flow['seq'], flow['ack'], ACK)
                    return True
            wait_s = min(wait_s * 2, 1.6)
        return False

    def _close(self, is_regular):
        if self.flow is not None:
            self.send(
                self.flow['seq'],
                self.flow['ack'],
                FIN | ACK if is_regular else RST,
            )
        self.flow = None


class World:
    """All machines and stand-ins of one run, and the record of it."""

    def __init__(self, record, heartbeat_ms=770):
        self.heartbeat_ms = heartbeat_ms
        self.started = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )
        self.prefix = self._claim_prefix()
        self.hosts = iter(range(2, 250))
        self.machines = []
        self.backends = []
        self.clients = []
        self.requests = []
        self.runs = {}
        self.open_at = {}
        self.taken = {}
        self.resets = []
        self.broken = []
        self.store = Store(self)
        self.version = 0
        self.tasks = []
        self._number = 0
        self._record = pathlib.Path(record).open('w', buffering=1)
        atexit.register(self.end_processes)

    def _claim_prefix(self):
        while True:
            prefix = (
                f'127.{random.randrange(20, 250)}.{random.randrange(1, 250)}'
            )
            self.claim = socket.socket()
            try:
                self.claim.bind((f'{prefix}.1', 39001))
                return prefix
            except OSError:
                self.claim.close()

    def take_address(self):
        return f'{self.prefix}.{next(self.hosts)}'

    def now(self):
        return time.monotonic() - self.started

    def note(self, event, **fields):
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._record.write(f'{self.now():8.3f} {event} {text}\n')

    def fail(self, rule, detail):
        self.broken.append((rule, detail))
        self.note('BROKEN ' + rule, detail=detail)

    async def start(self, routes):
        """Start store and routers, and write the first configuration."""
        await self.store.start(self.take_address())
        self.routes = routes
        self.put_configuration()
        self.router = await listen_udp(self.take_address(), 0, lambda *_: None)
        self.tasks.append(asyncio.create_task(self._probe()))
        self.tasks.append(asyncio.create_task(self._restart_ended()))

    def put_configuration(self, version=None):
        """Write the configuration as the operator does."""
        self.version = version or self.version + random.randrange(2, 6)
        services = sorted({service for service, _ in self.routes.values()})
        spec = {
            'Version': self.version,
            'Routes': [
                {
                    'Name': f'r{number}',
                    'Host': host,
                    'PathPrefix': f'/{port}/',
                    'Service': service,
                    'Type': kind,
                    'TimeoutMs': 2500,
                    'LatencyGoalMs': 270,
                    'Priority': 1,
                    'MaxAttempts': 1,
                }
                for number, ((host, port), (service, kind)) in enumerate(
                    self.routes.items()
                )
            ],
            'Services': [
                {'Name': name, 'HealthPath': '/health', 'WarmupPerS': 20.0}
                for name in services
            ],
            'Limits': {'IdleTimeoutMs': 15000},
        }
        self.store.put('config', 'main', spec)
        self.note('configuration acknowledged', version=self.version)

    def add(self, name, zone, service=''):
        machine = Machine(self, name, zone, service)
        self.machines.append(machine)
        return machine

    def frontends(self):
        return [
            one for one in self.machines if one.is_frontend and one.is_watched
        ]

    async def wait_ready(self, count, timeout=20.0):
        """Wait until some frontends are in rotation; False if too late."""
        until = time.monotonic() + timeout
        while sum(one.misses < 2 for one in self.frontends()) < count:
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.1)
        return True

    async def wait_started(self, machines, timeout=20.0):
        """Wait until all machines answer that they are ready; False if too late."""
        until = time.monotonic() + timeout
        for machine in machines:
            endpoint = machine.address, READY_PORT
            while (await call('GET', endpoint, '/ready'))[0] != 200:
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        return True

    def route(self, zone, datagram):
        """Hand a client's packet to a frontend, as the platform's routers do."""

        def in_rotation(nodes):
            return [one for one in nodes if one.misses < 2]

        known = self.frontends()
        local = [one for one in known if one.zone == zone]
        chosen = in_rotation(local)
        if chosen and 2 * len(chosen) < len(local):
            chosen = local
        chosen = chosen or in_rotation(known) or known
        if chosen:
            node = chosen[zlib.crc32(datagram[:12]) % len(chosen)]
            taken = self.taken.setdefault(datagram[:12], [])
            taken.append((time.monotonic(), node.address))
            self.router.sendto(datagram, (node.address, DATAGRAM_PORT))

    async def _probe(self):
        async def probe(machine):
            status, _ = await call(
                'GET', (machine.address, READY_PORT), '/ready', timeout=0.45
            )
            before = machine.misses
            machine.misses = 0 if status == 200 else machine.misses + 1
            if (before < 2) != (machine.misses < 2):
                self.note(
                    'rotation', machine=machine.name, isin=machine.misses < 2
                )

        while True:
            await asyncio.gather(
                *map(probe, self.frontends()), asyncio.sleep(0.5)
            )

    async def _restart_ended(self):
        """Start processes again that have ended, after a short delay."""
        while True:
            await asyncio.sleep(0.5)
            for machine in self.machines:
                if (
                    machine.is_watched
                    and not machine.is_held
                    and machine.popen.poll() is not None
                ):
                    self.note(
                        'ended',
                        machine=machine.name,
                        code=machine.popen.returncode,
                    )
                    machine.start()

    def new_request(self):
        self._number += 1
        return f'q{self._number:06}'

    def on_run(self, name, backend):
        self.runs.setdefault(name, []).append(backend.identifier)
        if len(self.runs[name]) > 1:
            self.fail('UNASKED', f'{name} ran at {self.runs[name]}')

    def on_open(self, key, backend):
        self.open_at[key] = backend, time.monotonic()

    def on_reset(self, client, sender):
        flow = client.flow
        key = FLOW.pack(flow['src'], flow['dst'], flow['sport'], flow['dport'])
        backend = self.open_at.get(key, (None, 0.0))[0]
        is_open = backend is not None and backend.is_up and key in backend.flows
        self.resets.append(
            (time.monotonic(), key, sender, backend if is_open else None)
        )
        self.note(
            'reset',
            client=client.address,
            sport=flow['sport'],
            sender=sender,
            open_at=backend.identifier if is_open else None,
        )

    def on_request(self, client, sent_at, served, tries):
        self.requests.append((sent_at, client, served))
        self.note(
            'request',
            sent=f'{sent_at - self.started:.3f}',
            client=client.address,
            route=client.route[0],
            served=served,
            tries=tries,
        )

    def served_share(self, since, until):
        """Return requests sent in a span, and the share that was served."""
        found = [
            served
            for sent_at, _, served in self.requests
            if since <= sent_at < until
        ]
        return len(found), sum(found) / len(found) if found else 0.0

    def end_processes(self):
        for machine in self.machines:
            machine.is_watched = False
            if machine.popen is not None and machine.popen.poll() is None:
                machine.popen.send_signal(signal.SIGCONT)
                machine.popen.kill()
                machine.popen.wait()
        if os.environ.get('KEEP_LOGS'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def stop(self):
        for task in (*self.tasks, *(one.task for one in self.clients)):
            task.cancel()
        self.end_processes()


def run(scenario, record, **options):
    """Run a scenario; exit with 0 if the rule held, 1 if not, 2 if it could not run.

    Args:
        scenario: Called with the world and whether to disturb it; returns
            whether the rule held, None if that could not be judged.
        record: Path of the record.
        **options: Options of the world.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def main():
        world = World(record, **options)
        world.note('begin', trouble=has_trouble)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                held = await scenario(world, has_trouble)
        except Exception as error:  # The case could not run.
            world.note('could not run', error=repr(error))
            print('could not run:', repr(error))
            held = None
        world.note('end', held=held)
        await world.stop()
        return 2 if held is None else int(not held)

    sys.exit(asyncio.run(main()))
