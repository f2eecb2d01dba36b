"""Decoding and encoding of documents."""

import json
import unittest
import zlib

import hypothesis

from kumquatport import exceptions
from kumquatport.version import document
from kumquatport.version.document import const
from tests.builders import broken_documents, documents


def _minimal(service_count: int) -> bytes:
    services = [
        {
            'name': f's-{number}',
            'address': f'10.0.{number // 256}.{number % 256}:443',
            'entry_port': number + 1,
        }
        for number in range(service_count)
    ]
    domains = [{'name': 'accra-a', 'region': 'accra'}]
    return json.dumps(
        {'schema': 1, 'failure_domains': domains, 'services': services}
    ).encode()


def _paths(raw: bytes) -> list[str]:
    try:
        document.parse(raw)
    except exceptions.DocumentRejectedError as rejected:
        return [fault.path for fault in rejected.faults]
    return []


class ParseTest(unittest.TestCase):
    """Accepted and rejected input, and the paths of the faults."""

    def test_defaults(self):
        parsed = document.parse(_minimal(1))
        service = parsed['services'][0]
        self.assertEqual(service['limits']['slots'], const.DEFAULT_SLOTS)
        self.assertEqual(service['ramp']['double_s'], const.DEFAULT_DOUBLE_S)
        self.assertFalse(parsed['failure_domains'][0]['out'])
        self.assertEqual(parsed['rules'], [])

    def test_every_fault_at_once(self):
        content = json.loads(_minimal(3))
        content['services'][0]['limits'] = {'slots': 0, 'more': 1}
        content['services'][1]['entry_port'] = 1
        content['services'][2]['classes'] = [
            {'name': 'a', 'methods': ['GET', 'fetch']},
            {'name': 'a', 'methods': ['GET'], 'deadline_s': 0},
        ]
        content['rules'] = [{'service': 'x', 'failure_domain': 'y'}, 7]
        self.assertEqual(
            _paths(json.dumps(content).encode()),
            [
                'rules[0].failure_domain',
                'rules[0].service',
                'rules[1]',
                'services[0].limits.more',
                'services[0].limits.slots',
                'services[1].entry_port',
                'services[2].classes[0].methods[1]',
                'services[2].classes[1].deadline_s',
                'services[2].classes[1].name',
            ],
        )

    def test_equal_invalid_entries_are_each_reported(self):
        content = json.loads(_minimal(2))
        for service in content['services']:
            service['ramp'] = {'double_s': 0}
        self.assertEqual(
            _paths(json.dumps(content).encode()),
            ['services[0].ramp.double_s', 'services[1].ramp.double_s'],
        )

    def test_boolean_is_not_an_integer(self):
        content = json.loads(_minimal(2))
        content['services'][0]['limits'] = {'slots': 1}
        content['services'][1]['limits'] = {'slots': True}
        self.assertEqual(
            _paths(json.dumps(content).encode()), ['services[1].limits.slots']
        )

    def test_unprintable_keys_are_escaped(self):
        raw = b'{"schema": 1, "\\ud800\\n": 1}'
        self.assertIn('\\ud800\\n', _paths(raw))

    def test_decompressed_size_limit(self):
        bomb = zlib.compress(b' ' * (const.MAX_PLAIN_BYTES + 1))
        self.assertEqual(_paths(bomb), [''])

    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.given(broken_documents.broken())
    def test_malformed_document(self, raw):
        self.assertTrue(_paths(raw))


class EncodeTest(unittest.TestCase):
    """Encoding is deterministic."""

    @hypothesis.settings(max_examples=50, deadline=None, database=None)
    @hypothesis.given(broken_documents.valid())
    def test_round_trip(self, content):
        parsed = document.parse(documents.encode(content))
        encoded = document.encode(parsed)
        self.assertEqual(document.parse(encoded), parsed)
        swapped = dict(reversed(parsed.items()))
        self.assertEqual(document.encode(swapped), encoded)

    def test_large_document(self):
        parsed = document.parse(_minimal(16000))
        encoded = document.encode(parsed)
        self.assertLess(len(encoded), const.MAX_STORED_BYTES // 4)
        self.assertEqual(document.parse(encoded), parsed)
