"""Tests of counters, histograms, CPU time and the statsd flusher."""

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
    """Counters, gauges and histograms are counted and summarized."""

    def test_snapshot_is_a_copy(self):
        metrics = registry.Registry()
        metrics.count('a')
        metrics.count('a', 4)
        metrics.gauge('b', 1.5)
        snapshot = metrics.snapshot()
        metrics.count('a')
        self.assertEqual(snapshot['counters'], {'a': 5})
        self.assertEqual(snapshot['gauges'], {'b': 1.5})

    def test_percentiles_have_two_significant_figures(self):
        latencies = histograms.Histograms()
        for latency_ms in range(1, 1001):
            latencies.record('guild', 'order', latency_ms / 1000)
        (summary,) = latencies.summaries()
        self.assertEqual(summary['count'], 1000)
        for name, expected_us in (('p50', 500_000), ('p99', 990_000)):
            ratio = summary['percentiles_us'][name] / expected_us
            self.assertAlmostEqual(ratio, 1, delta=0.02)

    def test_latencies_out_of_range_are_recorded(self):
        latencies = histograms.Histograms()
        for seconds in (-1.0, 0.0, 1e9):
            latencies.record('t', 'k', seconds)
        self.assertEqual(latencies.summaries()[0]['count'], 3)

    def test_number_of_labels_is_limited(self):
        latencies = histograms.Histograms(limit=3)
        for number in range(100):
            latencies.record(f'visitor-{number}', 'order', 0.1)
        summaries = latencies.summaries()
        self.assertEqual(len(summaries), 4)
        self.assertEqual(summaries[0]['client_account'], const.OTHER_LABEL)
        self.assertEqual(summaries[0]['count'], 97)


class UsageTest(unittest.IsolatedAsyncioTestCase):
    """CPU time of control work, and resident memory."""

    async def test_only_steps_of_the_coroutine_are_charged(self):
        metrics = registry.Registry()

        async def work():
            end = time.thread_time() + 0.02
            while time.thread_time() < end:
                pass
            await asyncio.sleep(0.2)
            return 'done'

        outcome = await control_usage.async_charge(metrics, work())
        self.assertEqual(outcome, 'done')
        cpu_s = metrics.gauges[const.GAUGE_CONTROL_LOOP_CPU_S]
        self.assertGreaterEqual(cpu_s, 0.02)
        self.assertLess(cpu_s, 0.1)

    async def test_errors_and_cancellation_are_propagated(self):
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

        class BusyService(mode.Service):
            @mode.Service.task
            async def _async_burn(self):
                for _ in range(4):
                    end = time.thread_time() + 0.005
                    while time.thread_time() < end:
                        pass
                    await asyncio.sleep(0)

        parent, child = BusyService(), BusyService()
        parent.add_dependency(child)
        control_usage.track(
            metrics, (parent,), lambda: traffic.Totals(1, 2, 30, 40)
        )
        await parent.start()
        await asyncio.sleep(0.2)
        await parent.stop()
        snapshot = metrics.snapshot()
        self.assertGreater(snapshot['gauges'][const.GAUGE_CONTROL_CPU_S], 0.04)
        self.assertEqual(
            snapshot['counters'],
            {'control.bytes_sent': 30, 'control.bytes_received': 40},
        )

    def test_resident_memory_is_plausible(self):
        self.assertGreater(usage.resident_bytes(), 5_000_000)


class FlusherTest(unittest.IsolatedAsyncioTestCase):
    """Metrics sent to the statsd receiver."""

    async def test_only_changed_counters_are_sent(self):
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(receiver.close)
        receiver.bind(('127.20.0.5', 0))
        receiver.setblocking(False)
        metrics = registry.Registry()
        metrics_flusher = flusher.Flusher(
            models.StatsdSettings('127.20.0.5', _port_of(receiver), 'kq'),
            metrics,
            'agent',
            'agent.1',
        )
        await metrics_flusher.start()
        self.addAsyncCleanup(metrics_flusher.stop)
        metrics.count('forwarded', 7)
        metrics.record_latency('a guild', 'order', 0.5)
        metrics_flusher.flush()
        lines = _receive_lines(receiver)
        base = 'kq.agent.agent_1'
        self.assertIn(f'{base}.forwarded:7|c', lines)
        self.assertIn(f'{base}.latency.a_guild.order.count:1|c', lines)
        self.assertTrue(any('resident_bytes' in line for line in lines))
        metrics.count('forwarded', 2)
        metrics_flusher.flush()
        lines = _receive_lines(receiver)
        self.assertIn(f'{base}.forwarded:2|c', lines)
        self.assertFalse(any('latency' in line for line in lines))

    async def test_absent_receiver_causes_no_error(self):
        settings = models.StatsdSettings('127.20.0.6', 9, 'kq')
        metrics_flusher = flusher.Flusher(
            settings, registry.Registry(), 'agent', 'a'
        )
        await metrics_flusher.start()
        for _ in range(5):
            metrics_flusher.flush()
        await metrics_flusher.stop()
        self.assertFalse(metrics_flusher.crashed)


def _port_of(udp_socket):
    return udp_socket.getsockname()[1]


def _receive_lines(receiver):
    lines = []
    while True:
        try:
            lines += receiver.recv(65536).decode().splitlines()
        except BlockingIOError:
            return lines
