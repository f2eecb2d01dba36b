"""Valid settings files load; any other file raises SettingsError."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from kumquatport import exceptions
from kumquatport.process import settings
from tests.builders import settings_text as texts


class SettingsCase(unittest.TestCase):
    """Provides a temporary folder for a settings file."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = pathlib.Path(directory.name)

    def load_invalid(self, text, load=settings.load_balancer):
        path = texts.write(self.folder, text)
        with self.assertRaises(exceptions.SettingsError) as caught:
            load(path)
        self.assertEqual(caught.exception.file, path)
        return caught.exception


class LoadTest(SettingsCase):
    """Files that load."""

    def test_balancer_with_defaults(self):
        path = texts.write(self.folder, texts.BALANCER)
        common = settings.load_balancer(path).common
        self.assertEqual(common.instance, 'balancer-1')
        self.assertEqual(common.platform.url, 'http://127.20.0.2:9000')
        self.assertEqual(common.platform.timeout_s, 2.0)
        self.assertEqual(common.seeds, ())
        self.assertEqual(common.statsd, ('127.0.0.1', 8125, 'kumquatport'))
        self.assertEqual(common.log, ('json', 'info'))

    def test_seeds_become_endpoints(self):
        text = f'{texts.BALANCER}seeds: [127.20.0.9:7000]\n'
        loaded = settings.load_balancer(texts.write(self.folder, text))
        self.assertEqual(loaded.common.seeds, (('127.20.0.9', 7000),))

    def test_agent_resolves_paths_against_the_file(self):
        loaded = settings.load_agent(texts.write(self.folder, texts.AGENT))
        self.assertEqual(loaded.tls.certificate, str(self.folder / 'cert.pem'))
        self.assertEqual(loaded.tls.key, 'platform:tls/key')
        self.assertEqual(loaded.backend_server, ('127.20.0.3', 8000))

    def test_console(self):
        text = texts.CONSOLE.replace('control_port: 7000\n', '')
        loaded = settings.load_console(texts.write(self.folder, text))
        self.assertEqual(loaded.common.control_port, 0)
        self.assertEqual(loaded.operators[0].name, 'ama')
        self.assertIsNone(loaded.tls)

    def test_keys_are_bytes_and_masked_in_text(self):
        path = texts.write(self.folder, texts.CONSOLE)
        loaded = settings.load_console(path)
        key = loaded.common.shared_key
        self.assertEqual(bytes(key), bytes.fromhex(texts.KEY_DIGITS))
        self.assertNotIn('\\xab', f'{loaded} {key} {key!r} {[key]}')


class InvalidFileTest(SettingsCase):
    """Files that are rejected, with the place of the error."""

    def test_error_of_a_wrong_value_has_line_and_key(self):
        cases = (
            ('status_port: 7001', 'status_port: true', 6, 'status_port'),
            ('status_port: 7001', 'status_port: 65536', 6, 'status_port'),
            ('127.20.0.1', 'localhost', 4, 'address'),
            ('balancer-1', '"a b"', 1, 'instance'),
            ('balancer-1', '1', 1, 'instance'),
            ('http:', 'ftp:', 8, 'platform.url'),
            ('shared.hex', 'nowhere.hex', 9, 'shared_key_file'),
            ('shared.hex', 'settings.yaml', 9, 'shared_key_file'),
        )
        for old, new, line, key in cases:
            with self.subTest(new=new):
                err = self.load_invalid(texts.BALANCER.replace(old, new))
                self.assertEqual((err.line, err.key), (line, key))
                self.assertIn('expected', err.expected)

    def test_added_lines(self):
        cases = (
            ('colour: red', 'colour'),
            ('log: {level: loud}', 'log.level'),
            ('log: {colour: red}', 'log.colour'),
            ('statsd: 8125', 'statsd'),
            ('seeds: [127.20.0.9]', 'seeds.0'),
            ('seeds: ["127.20.0.9:٣"]', 'seeds.0'),
            ('platform.url: x', 'platform.url'),
            ('instance: twice', ''),
            ('? [a, b]\n: 1', ''),
            ('a: &x 1\nb: *x', ''),
            ('a: !!python/name:os.system ""', ''),
        )
        for added, key in cases:
            with self.subTest(added=added):
                err = self.load_invalid(f'{texts.BALANCER}{added}\n')
                self.assertEqual(err.key, key)
                self.assertGreaterEqual(err.line, 10)

    def test_not_yaml(self):
        for text in ('', '- a', 'a: [', b'\xff\xfe\x00', '[' * 5000, '"'):
            with self.subTest(text=text[:9]):
                self.load_invalid(text)

    def test_missing_key_is_named(self):
        err = self.load_invalid(texts.BALANCER, settings.load_agent)
        self.assertEqual(err.key, 'backend_server')
        self.assertIn('missing', str(err))

    def test_missing_file_and_folder(self):
        for name in ('missing.yaml', '.', 'nul\0'):
            with self.assertRaises(exceptions.SettingsError):
                settings.load_agent(self.folder / name)

    def test_too_long_file(self):
        self.load_invalid(f'{texts.BALANCER}#{"x" * 300_000}')

    def test_duplicate_operators(self):
        entry = '{name: ama, password_hash: "$argon2id$hash"}'
        text = texts.CONSOLE.replace(entry, f'{entry}, {entry}')
        err = self.load_invalid(text, settings.load_console)
        self.assertEqual(err.key, 'operators')

    def test_error_does_not_contain_the_content_of_a_key_file(self):
        text = texts.BALANCER.replace('shared.hex', 'settings.yaml')
        self.assertNotIn('balancer-1', str(self.load_invalid(text)))


class FuzzTest(SettingsCase):
    """No content of the file raises another exception."""

    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=200),
            strategies.text(max_size=200).map(
                lambda text: text.encode('utf-8', 'surrogatepass')
            ),
            strategies.tuples(
                strategies.integers(0, len(texts.AGENT)),
                strategies.text('\n :{}[]"\'&*!|>%@`\x00#-,0a', max_size=6),
            ).map(
                lambda insertion: (
                    texts.AGENT[: insertion[0]]
                    + insertion[1]
                    + texts.AGENT[insertion[0] :]
                ).encode()
            ),
        )
    )
    @hypothesis.settings(deadline=None, max_examples=300)
    def test_no_other_error(self, text):
        path = texts.write(self.folder, text)
        try:
            settings.load_agent(path)
        except exceptions.SettingsError as err:
            self.assertTrue(err.expected)


if __name__ == '__main__':
    unittest.main()
