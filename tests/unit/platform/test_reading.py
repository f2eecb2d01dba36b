"""Decoding of the platform's configuration, heartbeats and settings."""

import json
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from kumquatport import exceptions
from kumquatport.platform import configuration, heartbeat, settings
from kumquatport.process.packets import models
from kumquatport.version import routes

CONFIGURATION = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'r1',
            'Host': '198.18.0.1',
            'PathPrefix': '/8443/',
            'Type': 'safe',
            'Split': [
                {'Service': 'one', 'Weight': 90},
                {'Service': 'two', 'Weight': 10},
            ],
        },
        {
            'Name': 'r2',
            'Host': '198.18.0.2',
            'PathPrefix': '/80/',
            'Service': 'two',
        },
    ],
    'Services': [
        {'Name': 'one', 'HealthPath': '/h', 'WarmupPerS': 2.5},
        {'Name': 'two', 'HealthPath': '/h'},
    ],
    'Limits': {'IdleTimeoutMs': 12000},
}
HEARTBEAT = {
    'Service': 'one',
    'Address': '10.0.0.2:8165',
    'Zone': 'a',
    'Version': 'v1',
    'Concurrency': 5,
    'State': 'draining',
    'WarmupLeftMs': 1500,
    'Sequence': 4,
    'born': 1234,
}
SETTINGS = """
NodeName = "side-1"
Ip = "10.1.0.12"
Zone = "a"
Region = "r"
InternalPorts = [7720, 7735]
Seeds = ["10.1.0.10:8166"]
HeartbeatMs = 1200
app = "10.1.0.12:8165"
Service = "one"
Unknown = 1
[Listen]
DatagramAddr = "10.1.0.12:8172"
outbound = "10.1.0.12:8162"
Ready = "10.1.0.12:8167"
Control = "10.1.0.12:8166"
[Bounds]
WarmupFactor = 1.5
WarmupSlack = 5
DrainMs = 3000
[platform]
Address = "10.200.1.7:8169"
HistoryS = 20
"""

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from((*CONFIGURATION, *HEARTBEAT, 'Host')),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


class ConfigurationTest(unittest.TestCase):
    """A configuration is accepted or rejected as a whole."""

    def test_routes(self):
        found = configuration.decode(json.dumps(CONFIGURATION).encode())
        self.assertEqual(found.version, 7)
        self.assertEqual(found.idle_timeout_s, 12.0)
        self.assertEqual(found.services['one'].warmup_flows_per_s, 2.5)
        one = found.routes[0xC6120001, 8443]
        self.assertEqual(
            one.weighted_services[0], routes.WeightedService('one', 90)
        )
        self.assertTrue(found.allows(0xC6120002, 80, 'two'))
        self.assertFalse(found.allows(0xC6120002, 80, 'one'))
        self.assertEqual(routes.decode(routes.encode(found)), found)

    @hypothesis.given(JSON)
    def test_any_json(self, value):
        with self.assertRaises(exceptions.DocumentRejectedError):
            configuration.decode(json.dumps(value).encode())

    @hypothesis.given(
        strategies.sampled_from(('Version', 'Routes', 'Services')), JSON
    )
    def test_one_field_of_another_type(self, field, value):
        broken = json.dumps({**CONFIGURATION, field: value}).encode()
        try:
            found = configuration.decode(broken)
        except exceptions.DocumentRejectedError:
            return
        self.assertIsInstance(found.version, int)


class HeartbeatTest(unittest.TestCase):
    """Decoding of valid and malformed heartbeats."""

    def test_fields(self):
        found = heartbeat.decode('i-1', json.dumps(HEARTBEAT).encode())
        self.assertEqual(
            found,
            models.BackendServerReport(
                identifier='i-1',
                service='one',
                endpoint=models.Endpoint('10.0.0.2', 8165),
                failure_domain='a',
                slots=5,
                is_draining=True,
                cold_left_s=1.5,
                sequence=4,
                born_ms=1234,
            ),
        )

    def test_malformed_heartbeats_are_rejected(self):
        broken = (
            {**HEARTBEAT, 'State': 'sleeping'},
            {**HEARTBEAT, 'Sequence': '4'},
            {**HEARTBEAT, 'Address': 'here'},
            {key: HEARTBEAT[key] for key in ('Service', 'State')},
            *(
                {key: HEARTBEAT[key] for key in HEARTBEAT if key != missing}
                for missing in HEARTBEAT
                if missing != 'born'
            ),
            *({**HEARTBEAT, key: None} for key in HEARTBEAT),
            *({**HEARTBEAT, key: [1]} for key in HEARTBEAT),
        )
        for body in broken:
            with (
                self.subTest(body=body),
                self.assertRaises(exceptions.HeartbeatRejectedError),
            ):
                heartbeat.decode('i-1', json.dumps(body).encode())

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes(self, body):
        with self.assertRaises(exceptions.HeartbeatRejectedError):
            heartbeat.decode('i-1', body)


class SettingsTest(unittest.TestCase):
    """Loading of the settings file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'settings.toml'

    def test_settings_of_an_agent(self):
        self.path.write_text(SETTINGS)
        found = settings.load(self.path)
        self.assertEqual(found.instance, 'side-1')
        self.assertEqual(found.peer_port, 7720)
        self.assertEqual(found.client_port, 8172)
        self.assertIsNone(found.entry)
        self.assertEqual(found.outbound, ('10.1.0.12', 8162))
        self.assertEqual(found.seeds, ('10.1.0.10',))
        self.assertEqual(found.bounds.cold_slack, 5)
        self.assertEqual(found.store.url, 'http://10.200.1.7:8169')

    def test_bounds_of_changes_come_from_the_settings(self):
        bounds = 'DrainMs = 3000\nConfigApplyMs = 2500\nEvacMs = 1500'
        self.path.write_text(SETTINGS.replace('DrainMs = 3000', bounds))
        found = settings.load(self.path).bounds
        self.assertEqual((found.apply_s, found.evacuate_s), (2.5, 1.5))
        self.assertEqual(found.configuration_s, 1.5)

    def test_bound_that_is_no_time_is_refused(self):
        for value in ('0', '-1', '"soon"'):
            text = f'DrainMs = 3000\nConfigApplyMs = {value}'
            self.path.write_text(SETTINGS.replace('DrainMs = 3000', text))
            with self.assertRaises(exceptions.SettingsError) as caught:
                settings.load(self.path)
            self.assertEqual(caught.exception.key, 'Bounds.ConfigApplyMs')

    def test_errors_name_the_key(self):
        for line, key in (
            ('NodeName = "side-1"', 'NodeName'),
            ('Ready = "10.1.0.12:8167"', 'Listen.Ready'),
            ('Address = "10.200.1.7:8169"', 'platform.Address'),
        ):
            with self.subTest(key=key):
                self.path.write_text(SETTINGS.replace(line, ''))
                with self.assertRaises(exceptions.SettingsError) as caught:
                    settings.load(self.path)
                self.assertEqual(caught.exception.key, key)

    def test_all_errors_of_a_file_are_named_at_once(self):
        """Guards against an operator who mends one error at a time."""
        text = SETTINGS.replace('NodeName = "side-1"', '')
        text = text.replace('DrainMs = 3000', 'DrainMs = -1')
        text += '[Limits]\nLinkMbps = "fast"\n'
        self.path.write_text(text)
        with self.assertRaises(exceptions.SettingsError) as caught:
            settings.load(self.path)
        for key in ('NodeName', 'Bounds.DrainMs', 'Limits.LinkMbps'):
            self.assertIn(key, str(caught.exception))

    def test_rate_of_the_link(self):
        """Guards against a rate in another unit than bytes."""
        self.path.write_text(SETTINGS)
        self.assertEqual(settings.load(self.path).link_bytes_per_s, 0)
        self.path.write_text(SETTINGS + '[Limits]\nLinkMbps = 5.0\n')
        self.assertEqual(settings.load(self.path).link_bytes_per_s, 625_000)

    def test_malformed_or_missing_file(self):
        self.path.write_text('Ip = ')
        with self.assertRaises(exceptions.SettingsError):
            settings.load(self.path)
        with self.assertRaises(exceptions.SettingsError):
            settings.load(self.path.with_name('missing'))
