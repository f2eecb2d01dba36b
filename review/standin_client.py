"""Stand-in for the users' clients (PROTOCOL.md, Flows)."""

import asyncio
import itertools
import random

import standin_net as net
import standin_packets as packets

SYN_COPIES_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RESET_WINDOW = 76_800
_ids = itertools.count(1)


class Flow:
    """One flow of a client.

    Attributes:
        sent_at: Time at which its opening packet was first sent.
        last_ack: Last number acknowledged; resets must be near it.
        answers: Header and body of each answer.
    """

    def __init__(self, client, key):
        self.client = client
        self.key = key
        self.iss = random.randrange(1, packets.MOD)
        self.snd_nxt = self.iss + 1
        self.snd_una = self.iss + 1
        self.rcv_nxt = 0
        self.last_ack = 0
        self.is_open = False
        self.is_over = False
        self.sent_at = client.loop.time()
        self.buffer = b''
        self.changed = asyncio.Event()
        self.answers = []

    def on_packet(self, packet):
        if self.is_over:
            return
        if packet.flags & packets.RST:
            is_near = (
                packets.distance(packet.seq, self.last_ack) <= RESET_WINDOW
            )
            if self.is_open and not is_near:
                return
            self.is_over = True
            self.client.on_reset(self, packet)
        elif packet.flags & packets.SYN:
            if not self.is_open:
                self.is_open = True
                self.rcv_nxt = (packet.seq + 1) % packets.MOD
                self.last_ack = self.rcv_nxt
        elif self.is_open:
            self._on_open(packet)
        self.changed.set()

    def _on_open(self, packet):
        if 0 < (packet.ack - self.snd_una) % packets.MOD < 1 << 31:
            self.snd_una = packet.ack
        if packet.data and packet.seq == self.rcv_nxt:
            self.rcv_nxt = (self.rcv_nxt + len(packet.data)) % packets.MOD
            self.buffer += packet.data
        if packet.data:
            self.acknowledge()
        if packet.flags & packets.FIN and packet.seq == self.rcv_nxt:
            self.rcv_nxt = (self.rcv_nxt + 1) % packets.MOD
            self.acknowledge()
            self.is_over = True
        head, found, rest = self.buffer.partition(b'\r\n\r\n')
        if found:
            length = int(
                head.partition(b'Content-Length: ')[2].split(b'\r\n')[0]
            )
            if len(rest) >= length:
                self.answers.append((head, rest[:length]))
                self.buffer = rest[length:]

    def acknowledge(self):
        self.last_ack = self.rcv_nxt
        self.send(
            packets.pack(self.key, packets.ACK, self.snd_nxt, self.rcv_nxt)
        )

    def send(self, datagram):
        self.client.route(self.key, datagram)


class Client:
    """A client with one address.

    Attributes:
        outcomes: Outcome of each request by its id.
    """

    def __init__(self, log, address, port, zone, router, on_reset):
        self.log = log
        self.address = address
        self.zone = zone
        self.loop = asyncio.get_running_loop()
        self.flows = {}
        self.outcomes = {}
        self._router = router
        self._on_reset = on_reset
        self._port = random.randrange(2000, 20000)
        self._bound = net.udp(address, port, self._on_datagram)

    def close_socket(self):
        self._bound.close()

    def route(self, key, datagram):
        target = self._router(self.zone, key)
        if target is not None:
            net.send(self._bound, datagram, target)

    def on_reset(self, flow, packet):
        self._on_reset(flow, packet)
        self.log(
            'reset',
            client=self.address,
            sport=flow.key[1],
            dst=f'{flow.key[2]}:{flow.key[3]}',
            open=flow.is_open,
            of_the_system=packet.sum == 0,
        )

    async def open(self, service):
        """Open a flow to an (address, port); return it, None if it fails."""
        self._port += 1
        key = (self.address, self._port, *service)
        flow = Flow(self, key)
        self.flows[key] = flow
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            flow.send(packets.pack(key, packets.SYN, flow.iss, copy))
            try:
                async with asyncio.timeout(wait_s):
                    while not flow.is_open and not flow.is_over:
                        flow.changed.clear()
                        await flow.changed.wait()
            except TimeoutError:
                continue
            break
        if not flow.is_open or flow.is_over:
            flow.is_over = True
            return None
        return flow

    async def request(self, flow, deadline_s):
        """Send a request on a flow; return its id and outcome."""
        identifier = f'r{next(_ids):06d}'
        data = (
            f'GET /x HTTP/1.1\r\nHost: {flow.key[2]}\r\n'
            f'X-Request-Id: {identifier}\r\n\r\n'
        ).encode()
        self.log(
            'sent',
            request=identifier,
            client=self.address,
            sport=flow.key[1],
            dst=f'{flow.key[2]}:{flow.key[3]}',
            syn_s=round(flow.sent_at - self.log.started_at, 3),
        )
        seq = flow.snd_nxt
        flow.snd_nxt = (flow.snd_nxt + len(data)) % packets.MOD
        end = flow.snd_nxt
        done = self.loop.time() + deadline_s
        delay_s, resend_at = 0.2, self.loop.time()
        before = len(flow.answers)
        while self.loop.time() < done and not flow.is_over:
            if len(flow.answers) > before:
                break
            now = self.loop.time()
            if now >= resend_at and flow.snd_una != end:
                flow.last_ack = flow.rcv_nxt
                flow.send(
                    packets.pack(flow.key, packets.ACK, seq, flow.rcv_nxt, data)
                )
                resend_at = now + delay_s
                delay_s = min(delay_s * 2, 1.6)
            flow.changed.clear()
            until = min(done, resend_at if flow.snd_una != end else done)
            try:
                async with asyncio.timeout(max(until - now, 0.001)):
                    await flow.changed.wait()
            except TimeoutError:
                pass
        outcome = 'none'
        if len(flow.answers) > before:
            head, body = flow.answers[-1]
            outcome = head.split(b' ')[1].decode()
            if not body.startswith(identifier.encode()):
                outcome = 'foreign'
        elif flow.is_over:
            outcome = 'reset'
        self.outcomes[identifier] = outcome
        self.log('answered', request=identifier, outcome=outcome)
        return identifier, outcome

    def close(self, flow):
        if flow.is_open and not flow.is_over:
            flow.is_over = True
            flow.send(
                packets.pack(
                    flow.key,
                    packets.FIN | packets.ACK,
                    flow.snd_nxt,
                    flow.rcv_nxt,
                )
            )

    async def fetch(self, service, deadline_s=2.0, tries=3):
        """Make a request on a flow of its own, with further tries."""
        outcome = 'not opened'
        for _ in range(tries):
            flow = await self.open(service)
            if flow is None:
                self.log('not opened', client=self.address)
                await asyncio.sleep(0.05)
                continue
            _, outcome = await self.request(flow, deadline_s)
            self.close(flow)
            if outcome == '200':
                break
        return outcome

    def _on_datagram(self, datagram):
        packet = packets.parse(datagram)
        flow = self.flows.get(packets.reverse(packet.flow))
        if flow is not None:
            flow.on_packet(packet)
