"""Tests of the test runner.

A skipped, crashed or missing test must not be counted as passed.
"""

import json
import pathlib
import tempfile
import textwrap
import unittest
from unittest import mock

from script.testing import features, known_failures, unit


class FolderCase(unittest.TestCase):
    """Base class with a temporary folder."""

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name)


class KnownRedTest(FolderCase):
    """Reading the list of known failures."""

    def test_entries_and_comments(self):
        file = self.folder / 'list'
        file.write_text('# why\n\nunit:a | make test | boom | issue 9\n')
        entry = known_failures.load(file)['unit:a']
        self.assertEqual(entry, ('unit:a', 'make test', 'boom', 'issue 9'))

    def test_malformed(self):
        file = self.folder / 'list'
        for line in ('unit:a', 'a | b | c', 'a | b | | d', 'a | b | c | d | e'):
            file.write_text(line)
            with self.assertRaises(known_failures.MalformedListError):
                known_failures.load(file)

    def test_missing(self):
        self.assertEqual(known_failures.load(self.folder / 'none'), {})


class UnitTest(FolderCase):
    """Outcomes of unit tests."""

    def run_tests(self, body):
        package = self.folder / 'trial'
        package.mkdir()
        (package / '__init__.py').touch()
        text = 'import os, unittest\n' + textwrap.dedent(body)
        (package / 'test_it.py').write_text(text)
        with mock.patch.object(unit, 'FOLDER', str(package)):
            return self.run_in(self.folder)

    def run_in(self, top):
        recorder = unit.unittest.TextTestRunner(
            stream=(top / 'out').open('w'), resultclass=unit.OutcomeRecorder
        )
        self.addCleanup(recorder.stream.close)
        suite = unittest.TestLoader().discover(
            unit.FOLDER, top_level_dir=str(top)
        )
        recorder_result = recorder.run(suite)
        recorder_result.record_failures()
        return {
            test.rsplit('.', 1)[-1]: detail.split('\n')[0]
            for test, detail in recorder_result.outcomes.items()
        }

    def test_only_a_pass_is_without_detail(self):
        found = self.run_tests(
            """
            class Case(unittest.TestCase):
                def test_good(self): pass
                def test_bad(self): self.fail()
                @unittest.skip('why')
                def test_skipped(self): pass
                @unittest.expectedFailure
                def test_unexpected(self): pass
                def test_sub(self):
                    for number in range(2):
                        with self.subTest(number=number):
                            self.assertEqual(number, 0)
            """
        )
        self.assertEqual(found.pop('test_good'), '')
        self.assertEqual(len(found), 4)
        self.assertTrue(all(found.values()), found)


class FeaturesTest(FolderCase):
    """Outcomes of behave features."""

    def run_feature(self, content, code=0):
        def fake_behave(feature, number, results):
            if content is not None:
                results.write_text(json.dumps(content))
            return code

        with mock.patch.object(features, '_run_behave', fake_behave):
            path = pathlib.Path('tests/features/x.feature')
            return features.run(path, 0, self.folder).outcomes

    def scenario(self, status):
        steps = [{'keyword': 'Then', 'name': 'x', 'result': {'status': status}}]
        return {
            'type': 'scenario',
            'name': f'is {status}',
            'status': status,
            'location': 'x.feature:1',
            'steps': steps,
        }

    def test_statuses(self):
        statuses = ('passed', 'failed', 'skipped', 'untested', 'error')
        elements = [self.scenario(status) for status in statuses]
        elements.append({'type': 'background', 'name': ''})
        outcomes = self.run_feature([{'elements': elements}], code=1)
        passed = [result.test for result in outcomes if result.passed]
        self.assertEqual(passed, ['tests/features/x.feature: is passed'])
        self.assertEqual(len(outcomes), len(statuses))

    def test_no_results_is_a_failure(self):
        (result,) = self.run_feature(None, code=1)
        self.assertFalse(result.passed)

    def test_fault_outside_scenarios_is_a_failure(self):
        content = [{'elements': [self.scenario('passed')]}]
        outcomes = self.run_feature(content, code=1)
        self.assertEqual([test.passed for test in outcomes], [True, False])
