"""Tests of single unusable entries among usable ones."""

import json
import math
import unittest
from unittest import mock

from kumquatport import exceptions
from kumquatport.connection.packets import request_class
from kumquatport.platform import configuration, heartbeat, responses
from tests.builders import odd_entries

HEARTBEAT = {
    'Service': 'one',
    'Address': '10.0.0.2:8165',
    'Zone': 'a',
    'Version': 'v1',
    'Concurrency': 5,
    'State': 'ready',
    'WarmupLeftMs': 0,
    'Sequence': 4,
    'born': 1234,
}
NUMBERS = ('Concurrency', 'WarmupLeftMs', 'Sequence', 'born')
ITEM = b'{"meta":{"Name":"%s","Revision":%d},"spec":%s,"status":{}}'
GOOD_SPEC = b'{"count":3,"data":"aGFsbG8="}'


def listed(*specs):
    """Return a page with an item of each spec."""
    items = (
        ITEM % (b'item-%d' % index, index + 1, spec)
        for index, spec in enumerate(specs)
    )
    return b'{"items":[%s],"StoreRevision":9}' % b','.join(items)


def watched(*specs):
    """Return an answer of a watch with an event of each spec."""
    events = (
        b'{"Object":%s}' % (ITEM % (b'item-%d' % index, index + 1, spec))
        for index, spec in enumerate(specs)
    )
    return b'{"events":[%s],"StoreRevision":9}' % b','.join(events)


class HeartbeatTest(unittest.TestCase):
    """A heartbeat that names no backend server to use is rejected."""

    def assert_rejected(self, body):
        with self.assertRaises(exceptions.HeartbeatRejectedError):
            heartbeat.decode('i-1', body)

    def test_the_heartbeat_itself_is_accepted(self):
        heartbeat.decode('i-1', json.dumps(HEARTBEAT).encode())

    def test_deeply_nested_value_is_rejected(self):
        body = json.dumps({**HEARTBEAT, 'x': 0}).encode()
        self.assert_rejected(body.replace(b'0}', odd_entries.DEEP_JSON + b'}'))

    def test_number_too_large_is_rejected(self):
        for name in NUMBERS:
            for number in odd_entries.LARGE_NUMBERS:
                text = json.dumps({**HEARTBEAT, name: 'X'})
                with self.subTest(name=name, number=number[:9]):
                    self.assert_rejected(text.encode().replace(b'"X"', number))

    def test_port_out_of_range_is_rejected(self):
        for port in odd_entries.PORTS:
            with self.subTest(port=port):
                address = f'10.0.0.2:{port}'
                self.assert_rejected(
                    json.dumps({**HEARTBEAT, 'Address': address}).encode()
                )

    def test_address_that_is_none_is_rejected(self):
        for host in ('', 'nowhere', '1.2.3', '::1', 'a\0b'):
            with self.subTest(host=host):
                self.assert_rejected(
                    json.dumps({**HEARTBEAT, 'Address': f'{host}:80'}).encode()
                )


class ListTest(unittest.TestCase):
    """An odd object in a list of the store does not hide the others."""

    ODD_SPECS = (
        odd_entries.DEEP_JSON,
        b'{"count":1,"data":' + odd_entries.DEEP_JSON + b'}',
        b'{"x":"[[[\\"{","y":' + odd_entries.DEEP_JSON + b'}',
        b'9' * 5000,
        b'{"count":%s,"data":"aGFsbG8="}' % (b'9' * 30),
        b'{"count":-1,"data":"aGFsbG8="}',
        '{"count":1,"data":"éééé"}'.encode(),
        b'{"count":1,"data":"a"}',
    )

    def assert_others_hold(self, listing):
        names = [stored.name for stored in listing.objects]
        self.assertEqual(names, ['item-0', 'item-1', 'item-2'])
        for index in (0, 2):
            self.assertEqual(listing.objects[index].value, b'hallo')
            self.assertEqual(listing.objects[index].version, 3)
        self.assertNotEqual(listing.objects[1].value, b'hallo')

    def test_odd_entry_does_not_hide_the_others_of_a_list(self):
        for spec in self.ODD_SPECS:
            with self.subTest(spec=spec[:20]):
                page = listed(GOOD_SPEC, spec, GOOD_SPEC)
                self.assert_others_hold(responses.decode_page(page, 'kind'))

    def test_odd_entry_does_not_hide_the_others_of_a_watch(self):
        for spec in self.ODD_SPECS:
            with self.subTest(spec=spec[:20]):
                answer = watched(GOOD_SPEC, spec, GOOD_SPEC)
                self.assert_others_hold(responses.decode_events(answer, 'kind'))

    def test_deeply_nested_object_has_no_value(self):
        item = ITEM % (b'item', 1, odd_entries.DEEP_JSON)
        stored = responses.decode_object(item, 'kind/item')
        self.assertEqual(stored.value, b'null')

    def test_deeply_nested_answer_is_a_typed_error(self):
        for decode in (responses.decode_page, responses.decode_events):
            with self.assertRaises(exceptions.PlatformUnavailableError):
                decode(odd_entries.DEEP_JSON, 'kind')


class ConfigurationTest(unittest.TestCase):
    """An unusable configuration is rejected as a whole."""

    ROUTE = {'Host': '198.18.0.1', 'PathPrefix': '/443/', 'Service': 'one'}
    SERVICE = {'Name': 'one', 'WarmupPerS': 2}

    def assert_rejected(self, **fields):
        document = {
            'Version': 7,
            'Routes': [self.ROUTE],
            'Services': [self.SERVICE],
            **fields,
        }
        text = json.dumps(document).encode()
        text = text.replace(b'"DEEP"', odd_entries.DEEP_JSON)
        with self.assertRaises(exceptions.DocumentRejectedError):
            configuration.decode(text)

    def test_deeply_nested_configuration_is_rejected(self):
        self.assert_rejected(Unknown='DEEP')

    def test_version_out_of_range_is_rejected(self):
        for version in (-1, 2**63, 10**30):
            self.assert_rejected(Version=version)

    def test_port_out_of_range_is_rejected(self):
        for port in odd_entries.PORTS:
            route = {**self.ROUTE, 'PathPrefix': f'/{port}/'}
            self.assert_rejected(Routes=[route])

    def test_number_out_of_range_is_rejected(self):
        for number in (-1, 1e300):
            service = {**self.SERVICE, 'WarmupPerS': number}
            self.assert_rejected(Services=[service])
            self.assert_rejected(Limits={'IdleTimeoutMs': number})
            split = [{'Service': 'one', 'Weight': number}]
            self.assert_rejected(Routes=[{**self.ROUTE, 'Split': split}])

    def terms(self, **fields):
        """Return the terms of a route and the events that were logged."""
        route = {**self.ROUTE, 'TimeoutMs': 1500, 'LatencyGoalMs': 300}
        document = {
            'Version': 7,
            'Routes': [{**route, 'Priority': 2, **fields}, self.ROUTE],
            'Services': [self.SERVICE],
        }
        document['Routes'][1] = {**self.ROUTE, 'Host': '198.18.0.2'}
        with mock.patch.object(configuration, '_LOGGER') as logger:
            table = configuration.decode(json.dumps(document).encode())
        self.assertTrue(table.allows(0xC6120001, 443, 'one'))
        self.assertTrue(table.allows(0xC6120002, 443, 'one'))
        self.assertIsNone(table.routes[0xC6120002, 443].request_class)
        logs = [line.kwargs for line in logger.warning.call_args_list]
        return table.routes[0xC6120001, 443].request_class, logs

    def test_terms_are_read(self):
        for kind, repeatable in (
            ('safe', True),
            ('download', True),
            ('unsafe', False),
            ('upload', False),
            ('other', False),
            (None, False),
            (5, False),
            ([], False),
        ):
            expected = request_class.RequestClass(2, 1.5, 0.3, repeatable)
            self.assertEqual(self.terms(Type=kind), (expected, []))

    def test_invalid_terms_leave_only_their_route_without_terms(self):
        """One wrong value would refuse the whole configuration."""
        durations = (-1, 'x', 3_600_001, True, [1], {}, 10**30, -0.5)
        cases = [
            *(('TimeoutMs', value) for value in durations),
            *(('LatencyGoalMs', value) for value in durations),
            *(('Priority', value) for value in (-1, 256, 1.5, '1', [], 10**30)),
        ]
        for field, value in cases:
            with self.subTest(field=field, value=value):
                terms, logs = self.terms(**{field: value})
                self.assertIsNone(terms)
                self.assertEqual([log['field'] for log in logs], [field])
                self.assertEqual(logs[0]['route'], '198.18.0.1/443/')

    def test_route_that_does_not_state_all_terms_has_none(self):
        for field in ('TimeoutMs', 'LatencyGoalMs', 'Priority'):
            self.assertEqual(self.terms(**{field: None}), (None, []))
        self.assertEqual(self.terms(TimeoutMs=0), (None, []))

    def test_finite_numbers_only(self):
        self.assertTrue(math.isinf(float('1e400')))
        self.assert_rejected(Limits={'IdleTimeoutMs': math.inf})


if __name__ == '__main__':
    unittest.main()
