"""Metrics: counting, histograms, processor time, sending."""

import asyncio
import socket
import time
import unittest

import mode

from kumquatport.connection.control import traffic
from kumquatport.process.metrics import (
    const,
    control_usage,
    flusher,
    histograms,
    registry,
    usage,
)
from kumquatport.process.settings import models


class RegistryTest(unittest.TestCase):
    """Counters, gauges and histograms."""

    def test_snapshot_is_a_copy(self):
        metrics = registry.Registry()
        metrics.count('a')
        metrics.count('a', 4)
        metrics.gauge('b', 1.5)
        before = metrics.snapshot()
        metrics.count('a')
        self.assertEqual(before['counters'], {'a': 5})
        self.assertEqual(before['gauges'], {'b': 1.5})

    def test_percentiles_keep_two_figures(self):
        held = histograms.Histograms()
        for millis in range(1, 1001):
            held.record('guild', 'order', millis / 1000)
        (summary,) = held.summaries()
        self.assertEqual(summary['count'], 1000)
        for name, micros in (('p50', 500_000), ('p99', 990_000)):
            ratio = summary['percentiles_us'][name] / micros
            self.assertAlmostEqual(ratio, 1, delta=0.02)

    def test_extremes_are_kept_within_range(self):
        held = histograms.Histograms()
        for seconds in (-1.0, 0.0, 1e9):
            held.record('t', 'k', seconds)
        self.assertEqual(held.summaries()[0]['count'], 3)

    def test_labels_are_bounded(self):
        held = histograms.Histograms(limit=3)
        for number in range(100):
            held.record(f'visitor-{number}', 'order', 0.1)
        summaries = held.summaries()
        self.assertEqual(len(summaries), 4)
        self.assertEqual(summaries[0]['client_account'], const.OTHER_LABEL)
        self.assertEqual(summaries[0]['count'], 97)


class UsageTest(unittest.IsolatedAsyncioTestCase):
    """Memory and processor time."""

    async def test_only_the_steps_of_the_work_are_charged(self):
        metrics = registry.Registry()

        async def work():
            end = time.thread_time() + 0.02
            while time.thread_time() < end:
                pass
            await asyncio.sleep(0.2)
            return 'done'

        ended = await control_usage.async_charge(metrics, work())
        self.assertEqual(ended, 'done')
        spent = metrics.gauges[const.GAUGE_CONTROL_LOOP_CPU_S]
        self.assertGreaterEqual(spent, 0.02)
        self.assertLess(spent, 0.1)

    async def test_errors_and_cancellation_pass_through(self):
        metrics = registry.Registry()

        async def fail():
            await asyncio.sleep(0)
            raise KeyError

        with self.assertRaises(KeyError):
            await control_usage.async_charge(metrics, fail())
        cleaned = asyncio.Event()

        async def wait():
            try:
                await asyncio.sleep(60)
            finally:
                cleaned.set()

        task = asyncio.create_task(control_usage.async_charge(metrics, wait()))
        await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertTrue(cleaned.is_set())

    async def test_tasks_of_services_and_children_are_charged(self):
        metrics = registry.Registry()

        class Busy(mode.Service):
            @mode.Service.task
            async def _async_burn(self):
                for _ in range(4):
                    end = time.thread_time() + 0.005
                    while time.thread_time() < end:
                        pass
                    await asyncio.sleep(0)

        parent, child = Busy(), Busy()
        parent.add_dependency(child)
        control_usage.track(
            metrics, (parent,), lambda: traffic.Totals(1, 2, 30, 40)
        )
        await parent.start()
        await asyncio.sleep(0.2)
        await parent.stop()
        found = metrics.snapshot()
        self.assertGreater(found['gauges'][const.GAUGE_CONTROL_CPU_S], 0.04)
        self.assertEqual(
            found['counters'],
            {'control.bytes_sent': 30, 'control.bytes_received': 40},
        )

    def test_resident_memory_is_plausible(self):
        self.assertGreater(usage.resident_bytes(), 5_000_000)


class FlusherTest(unittest.IsolatedAsyncioTestCase):
    """What goes to the receiver."""

    async def test_sends_changes_only(self):
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(receiver.close)
        receiver.bind(('127.20.0.5', 0))
        receiver.setblocking(False)
        metrics = registry.Registry()
        sending = flusher.Flusher(
            models.StatsdSettings('127.20.0.5', _port(receiver), 'kq'),
            metrics,
            'agent',
            'agent.1',
        )
        await sending.start()
        self.addAsyncCleanup(sending.stop)
        metrics.count('forwarded', 7)
        metrics.record_latency('a guild', 'order', 0.5)
        sending.flush()
        lines = _received(receiver)
        base = 'kq.agent.agent_1'
        self.assertIn(f'{base}.forwarded:7|c', lines)
        self.assertIn(f'{base}.latency.a_guild.order.count:1|c', lines)
        self.assertTrue(any('resident_bytes' in line for line in lines))
        metrics.count('forwarded', 2)
        sending.flush()
        lines = _received(receiver)
        self.assertIn(f'{base}.forwarded:2|c', lines)
        self.assertFalse(any('latency' in line for line in lines))

    async def test_no_receiver_is_no_fault(self):
        closed = models.StatsdSettings('127.20.0.6', 9, 'kq')
        sending = flusher.Flusher(closed, registry.Registry(), 'agent', 'a')
        await sending.start()
        for _ in range(5):
            sending.flush()
        await sending.stop()
        self.assertFalse(sending.crashed)


def _port(bound):
    return bound.getsockname()[1]


def _received(receiver):
    lines = []
    while True:
        try:
            lines += receiver.recv(65536).decode().splitlines()
        except BlockingIOError:
            return lines
