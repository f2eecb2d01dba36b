"""Look-ups, comparison, guard rails and edits of documents."""

import json
import pathlib
import unittest

from kumquatport import exceptions
from kumquatport.version import document
from kumquatport.version.document import schema
from tests.builders import documents

PAGE = pathlib.Path(__file__).parents[4] / 'docs' / 'CONFIGURATION.md'


def _build(**changes) -> document.Document:
    services = [
        documents.service('storefront', '127.30.0.1:4433', 20001),
        documents.service('manuals', '127.30.0.2:4433', 20002),
    ]
    content = documents.document('accra', ('a', 'b', 'c'), services, **changes)
    return document.parse(json.dumps(content).encode())


class LookupTest(unittest.TestCase):
    """Classes, client accounts, weights."""

    def setUp(self):
        self.document = _build()
        self.service = document.service(self.document, 'storefront')

    def _class(self, method, path):
        return document.class_of(self.service, method, path)['name']

    def test_class(self):
        self.assertEqual(self._class('POST', '/orders/1'), 'order')
        self.assertEqual(self._class('GET', '/orders/1'), 'other')
        self.service['classes'].insert(
            0, {**self.service['classes'][0], 'name': 'first'}
        )
        self.assertEqual(self._class('POST', '/orders/1'), 'first')

    def test_default_class_is_not_repeatable(self):
        found = document.class_of(self.service, 'GET', '/anything')
        self.assertFalse(found['repeatable'])
        self.assertIsNone(found['deadline_s'])

    def test_client_account(self):
        guild = document.client_account_of(self.service, 'guild')
        self.assertEqual(guild, {'name': 'guild', 'share': 3.0})
        for name in (None, '', 'stranger'):
            found = document.client_account_of(self.service, name)
            self.assertEqual(found, {'name': 'default', 'share': 1.0})

    def test_weights(self):
        changed = document.with_rule(
            self.document,
            {'service': 'manuals', 'failure_domain': 'b', 'weight': 0.0},
        )
        changed = document.with_domain_out(changed, 'c', out=True)
        found = document.failure_domain_weights(changed, 'manuals')
        self.assertEqual(found, {'a': 1.0})
        self.assertEqual(
            document.failure_domain_weights_by_service(changed),
            {'storefront': {'a': 1.0, 'b': 1.0}, 'manuals': {'a': 1.0}},
        )
        self.assertEqual(
            document.failure_domain_weight(changed, 'storefront', 'c'), 0
        )

    def test_missing(self):
        with self.assertRaises(exceptions.NotInDocumentError):
            document.service(self.document, 'desk')
        with self.assertRaises(exceptions.NotInDocumentError):
            document.with_domain_out(self.document, 'd', out=True)


class RenamedTest(unittest.TestCase):
    """Renamed keys."""

    def test_error_names_the_new_key(self):
        content = documents.document(
            'accra', ('a',), [documents.service('manuals', '127.30.0.2:1', 2)]
        )
        service = content['services'][0]
        service['tenants'] = service.pop('client_accounts')
        with self.assertRaises(exceptions.DocumentRejectedError) as rejected:
            document.parse(json.dumps(content).encode())
        self.assertEqual(
            rejected.exception.faults,
            (
                exceptions.Fault(
                    'services[0].tenants', 'was renamed to client_accounts'
                ),
            ),
        )


class CompareTest(unittest.TestCase):
    """Comparison of documents by entry name."""

    def _paths(self, before, after):
        return [change.path for change in document.compare(before, after)]

    def test_metadata_is_ignored(self):
        before = _build()
        after = document.with_submission(before, 'kofi', 'why', 'attempt')
        self.assertEqual(self._paths(before, after), [])

    def test_order_of_services_is_ignored(self):
        before = _build()
        after = {**before, 'services': before['services'][::-1]}
        self.assertEqual(self._paths(before, after), [])

    def test_order_of_classes_is_a_change(self):
        before = _build()
        service = before['services'][0]
        reordered = {**service, 'classes': service['classes'][::-1]}
        after = document.with_service(before, 'storefront', reordered)
        self.assertEqual(
            self._paths(before, after), ['services[storefront].classes order']
        )

    def test_absent_and_null(self):
        before = _build()
        service = before['services'][0]
        without_deadline = {**service['classes'][0], 'deadline_s': None}
        after = document.with_service(
            before,
            'storefront',
            {**service, 'classes': [without_deadline, *service['classes'][1:]]},
        )
        (change,) = document.compare(before, after)
        self.assertEqual((change.before, change.after), ('10.0', 'null'))


class GuardTest(unittest.TestCase):
    """Concerns that have to be confirmed."""

    def setUp(self):
        self.before = _build(out=('c',))
        self.loads = [
            document.DomainLoad('storefront', name, 2, 6) for name in 'ab'
        ]

    def _services(self, after, loads=()):
        found = document.find_concerns(self.before, after, loads)
        return [concern.service for concern in found]

    def test_last_failure_domain(self):
        after = document.with_domain_out(self.before, 'a', out=True)
        self.assertEqual(self._services(after), [])
        after = document.without_failure_domain(after, 'b')
        self.assertEqual(self._services(after), ['storefront', 'manuals'])

    def test_last_failure_domain_by_weight(self):
        after = self.before
        for name in 'abc':
            rule = {'service': 'manuals', 'failure_domain': name, 'weight': 0.0}
            after = document.with_rule(after, rule)
        self.assertEqual(self._services(after), ['manuals'])

    def test_load(self):
        after = document.with_domain_out(self.before, 'a', out=True)
        self.assertEqual(self._services(after, self.loads), ['storefront'])
        light_loads = [load._replace(busy=5) for load in self.loads]
        self.assertEqual(self._services(after, light_loads), [])

    def test_already_short_is_no_concern(self):
        heavy_loads = [load._replace(busy=50) for load in self.loads]
        self.assertEqual(self._services(self.before, heavy_loads), [])

    def test_removed_under_load(self):
        after = document.without_service(self.before, 'storefront')
        self.assertEqual(self._services(after), [])
        self.assertEqual(self._services(after, self.loads), ['storefront'])


class PageTest(unittest.TestCase):
    """The configuration page documents every key."""

    def test_keys(self):
        page = PAGE.read_text()
        shapes = (
            schema.DOCUMENT,
            schema.FAILURE_DOMAIN,
            schema.SERVICE,
            schema.TRAFFIC_CLASS,
            schema.CLIENT_ACCOUNT,
            schema.LIMITS,
            schema.RAMP,
            schema.RULE,
            schema.PREDECESSOR,
        )
        keys = {str(key) for shape in shapes for key in shape.schema}
        missing = sorted(key for key in keys if f'`{key}`' not in page)
        self.assertEqual(missing, [])
