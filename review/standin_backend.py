"""Stand-in for a backend server (PROTOCOL.md, Flows and Backends)."""

import asyncio
import json
import random
import socket
import time

import standin_net as net
import standin_packets as packets

RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
MAX_RETRANSMISSIONS = 8
HALF_OPEN, OPEN, ENDED = 'half-open', 'open', 'ended'


class _Flow:
    def __init__(self, key, client_seq):
        self.key = key
        self.state = HALF_OPEN
        self.iss = random.randrange(1, packets.MOD)
        self.snd_nxt = self.iss + 1
        self.snd_una = self.iss + 1
        self.rcv_nxt = client_seq + 1
        self.unacked = []
        self.buffer = b''
        self.opening = None
        self.last_at = None


class Backend:
    """One incarnation of a backend server beside an agent.

    Attributes:
        openings: Opening packets that it took: arrival, flow.
        runs: Requests that it began: time, flow, id.
    """

    def __init__(
        self,
        log,
        machine,
        service,
        zone,
        identifier,
        work_s=0.03,
        slots=5,
        warmup_s=0.0,
    ):
        self.log = log
        self.machine = machine
        self.service = service
        self.zone = zone
        self.identifier = identifier
        self.work_s = work_s
        self.slots = slots
        self.state = 'ready'
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.openings = []
        self.runs = []
        self.flows = {}
        self.busy = 0
        self.is_up = False
        self.acknowledged_draining_at = None
        self._queue = []
        self._tasks = []
        self._loop = asyncio.get_running_loop()
        self.started_at = self._loop.time()
        self._cold_until = self.started_at + warmup_s

    def start(self, heartbeat_s):
        """Open the port at ``app`` and start the heartbeats."""
        self.is_up = True
        ports = self.machine.ports
        self._udp = net.udp(self.machine.address, ports.app, self._on_datagram)
        self._tcp = socket.create_server(
            (self.machine.address, ports.app), backlog=64
        )
        self._tcp.setblocking(False)
        self._tasks.append(asyncio.create_task(self._accept()))
        self._tasks.append(asyncio.create_task(self._beat(heartbeat_s)))
        self.log(
            'backend started',
            id=self.identifier,
            at=self.machine.address,
            service=self.service,
        )

    def crash(self):
        """End at once, without a word."""
        if not self.is_up:
            return
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self._udp.close()
        self._tcp.close()
        self.flows.clear()
        self._queue.clear()
        self.log('backend ended', id=self.identifier)

    async def leave(self, drain_s):
        """Drain, say so, serve on for ``drain_s`` and a little, and exit."""
        self.state = 'draining'
        await self.beat()
        await asyncio.sleep(drain_s + 0.5)
        status = await net.call(
            'DELETE',
            self.machine.address,
            self.machine.ports.control,
            f'/instances/{self.identifier}',
            None,
        )
        self.log(
            'backend said that it exits', id=self.identifier, status=status
        )
        self.crash()

    def body(self):
        return {
            'Service': self.service,
            'Address': f'{self.machine.address}:{self.machine.ports.app}',
            'Zone': self.zone,
            'Version': 'v1',
            'Concurrency': self.slots,
            'State': self.state,
            'WarmupLeftMs': self.warmup_left_ms(),
            'Sequence': self.sequence,
            'born': self.born_ms,
        }

    def become_cold(self, warmup_s):
        self.started_at = self._loop.time()
        self._cold_until = self.started_at + warmup_s
        self.log('backend became cold', id=self.identifier, for_s=warmup_s)

    def warmup_left_ms(self):
        return max(0, int((self._cold_until - self._loop.time()) * 1000))

    async def beat(self):
        """Send one heartbeat; return its status, None without an answer."""
        self.sequence += 1
        status = await net.call(
            'PUT',
            self.machine.address,
            self.machine.ports.control,
            f'/instances/{self.identifier}',
            json.dumps(self.body()).encode(),
        )
        is_new = (
            self.state == 'draining' and self.acknowledged_draining_at is None
        )
        if status is not None and 200 <= status < 300 and is_new:
            self.acknowledged_draining_at = self._loop.time()
            self.log('draining acknowledged', id=self.identifier)
        return status

    async def _beat(self, heartbeat_s):
        while True:
            await self.beat()
            await asyncio.sleep(heartbeat_s * random.uniform(0.95, 1.05))

    async def _accept(self):
        while True:
            connection, _ = await self._loop.sock_accept(self._tcp)
            asyncio.create_task(self._health(connection))

    async def _health(self, connection):
        connection.setblocking(False)
        try:
            if await asyncio.wait_for(
                self._loop.sock_recv(connection, 4096), 2
            ):
                status = 200 if self.state == 'ready' else 503
                await self._loop.sock_sendall(
                    connection,
                    f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n'.encode(),
                )
        except (OSError, TimeoutError):
            pass
        connection.close()

    def _send(self, datagram):
        net.send(
            self._udp,
            datagram,
            (self.machine.address, self.machine.ports.outbound),
        )

    def _on_datagram(self, datagram):
        if not self.is_up:
            return
        packet = packets.parse(datagram)
        flow = self.flows.get(packet.flow)
        if packet.flags & packets.SYN:
            if flow is None:
                flow = self.flows[packet.flow] = _Flow(packet.flow, packet.seq)
                flow.opening = self._loop.time()
                self.openings.append((flow.opening, packet.flow))
            self._send(
                packets.pack(
                    packets.reverse(packet.flow),
                    packets.SYN | packets.ACK,
                    flow.iss,
                    flow.rcv_nxt,
                )
            )
            return
        if flow is None:
            self._send(packets.bounced(datagram))
            return
        self._on_packet(flow, packet)

    def _on_packet(self, flow, packet):
        flow.last_at = self._loop.time()
        back = packets.reverse(flow.key)
        if flow.state == HALF_OPEN:
            if packet.ack != (flow.iss + 1) % packets.MOD:
                self._send(packets.pack(back, packets.RST, packet.ack))
                return
            flow.state = OPEN
        if packet.flags & packets.RST:
            self.flows.pop(flow.key, None)
            return
        if flow.state == ENDED:
            if packet.data:
                self._send(packets.pack(back, packets.RST, packet.ack))
            elif packet.flags & packets.FIN:
                self._acknowledge(flow)
            return
        flow.unacked = [
            one
            for one in flow.unacked
            if 0 < (one[0] - packet.ack) % packets.MOD < 1 << 31
        ]
        if packet.data:
            if packet.seq == flow.rcv_nxt % packets.MOD:
                flow.rcv_nxt += len(packet.data)
                flow.buffer += packet.data
                self._take_requests(flow)
            self._acknowledge(flow)
        if packet.flags & packets.FIN:
            flow.rcv_nxt += 1
            flow.state = ENDED
            self._send(
                packets.pack(
                    back, packets.FIN | packets.ACK, flow.snd_nxt, flow.rcv_nxt
                )
            )

    def _acknowledge(self, flow):
        self._send(
            packets.pack(
                packets.reverse(flow.key),
                packets.ACK,
                flow.snd_nxt,
                flow.rcv_nxt,
            )
        )

    def _take_requests(self, flow):
        while b'\r\n\r\n' in flow.buffer:
            head, _, flow.buffer = flow.buffer.partition(b'\r\n\r\n')
            identifier = head.partition(b'X-Request-Id: ')[2].split(b'\r\n')[0]
            if self.busy >= self.slots:
                self._queue.append((flow, identifier.decode()))
            else:
                self._run(flow, identifier.decode())

    def _run(self, flow, identifier):
        self.busy += 1
        now = self._loop.time()
        self.runs.append((now, flow.key, identifier))
        self.log(
            'run',
            request=identifier,
            backend=self.identifier,
            service=self.service,
            zone=self.zone,
            opening_s=round(flow.opening - self.log.started_at, 3),
        )
        self._loop.call_later(
            self.work_s, lambda: self._finish(flow, identifier)
        )

    def _finish(self, flow, identifier):
        if not self.is_up:
            return
        self.busy -= 1
        if self._queue:
            self._run(*self._queue.pop(0))
        if flow.state == HALF_OPEN or self.flows.get(flow.key) is not flow:
            return
        text = f'{identifier} by {self.identifier}'.encode()
        data = (
            b'HTTP/1.1 200 OK\r\nX-Response-Seal: '
            + identifier.encode()
            + b'\r\nContent-Length: '
            + str(len(text)).encode()
            + b'\r\n\r\n'
            + text
        )
        seq = flow.snd_nxt
        flow.snd_nxt += len(data)
        end = flow.snd_nxt % packets.MOD
        flow.unacked.append((end, seq, data))
        self._transmit(flow, end, RETRANSMIT_S, 0)
        if self.state == 'draining' and flow.state == OPEN:
            flow.state = ENDED
            self._send(
                packets.pack(
                    packets.reverse(flow.key),
                    packets.FIN | packets.ACK,
                    flow.snd_nxt,
                    flow.rcv_nxt,
                )
            )

    def _transmit(self, flow, end, delay_s, count):
        found = [one for one in flow.unacked if one[0] == end]
        if not found or not self.is_up or count > MAX_RETRANSMISSIONS:
            return
        _, seq, data = found[0]
        self._send(
            packets.pack(
                packets.reverse(flow.key), packets.ACK, seq, flow.rcv_nxt, data
            )
        )
        self._loop.call_later(
            delay_s,
            lambda: self._transmit(
                flow, end, min(delay_s * 2, MAX_RETRANSMIT_S), count + 1
            ),
        )
