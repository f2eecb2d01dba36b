"""The version of the document in force never decreases."""

import json
import unittest

from kumquatport import exceptions
from kumquatport.version import current


def _parse(encoded):
    if encoded == b'bad':
        raise exceptions.DocumentRejectedError(
            (exceptions.Fault('schema', 'malformed'),),
        )
    return json.loads(encoded)


class CurrentTest(unittest.TestCase):
    """Updates of the current document."""

    def setUp(self):
        self.current = current.CurrentDocument(_parse)

    def test_lower_and_equal_versions_are_ignored(self):
        self.assertTrue(self.current.update(5, b'[5]'))
        self.assertFalse(self.current.update(4, b'[4]'))
        self.assertFalse(self.current.update(5, b'[6]'))
        self.assertEqual(self.current.document, [5])

    def test_rejected_document_leaves_the_last_one_in_force(self):
        self.current.update(1, b'[1]')
        with self.assertRaises(exceptions.DocumentRejectedError):
            self.current.update(2, b'bad')
        self.assertEqual(self.current.version, 1)

    def test_listeners_are_notified_of_each_version_once(self):
        seen = []
        unsubscribe = self.current.subscribe(seen.append)
        self.current.update(1, b'[1]')
        self.current.update(1, b'[1]')
        unsubscribe()
        self.current.update(2, b'[2]')
        self.assertEqual([document.version for document in seen], [1])
