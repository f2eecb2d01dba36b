"""Tests of the event loop while a thread imports libraries."""

import asyncio
import importlib
import importlib.abc
import importlib.util
import sys
import time
import unittest

from kumquatport.process.packets import background_import

MODULES = 40
MODULE_S = 0.003
TICK_S = 0.0005


class _SlowImporter(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Imports modules that use CPU time without a pause."""

    def find_spec(self, name, _path, _target=None):
        if not name.startswith('slow_'):
            return None
        return importlib.util.spec_from_loader(name, self)

    def exec_module(self, _module):
        until = time.perf_counter() + MODULE_S
        while time.perf_counter() < until:
            pass


def _load():
    for number in range(MODULES):
        importlib.import_module(f'slow_{number}')
    return 'loaded'


class BackgroundImportTest(unittest.IsolatedAsyncioTestCase):
    """The switch interval is so long that threads must yield on their own."""

    def setUp(self):
        self.addCleanup(sys.setswitchinterval, sys.getswitchinterval())
        sys.setswitchinterval(10)
        finder = _SlowImporter()
        sys.meta_path.insert(0, finder)
        self.addCleanup(sys.meta_path.remove, finder)
        self.addCleanup(self._remove_modules)

    def _remove_modules(self):
        for number in range(MODULES):
            sys.modules.pop(f'slow_{number}', None)

    async def test_event_loop_runs_during_imports(self):
        ticks = 0
        loaded = asyncio.ensure_future(background_import.async_run(_load))
        while not loaded.done():
            await asyncio.sleep(TICK_S)
            ticks += 1
        self.assertEqual(loaded.result(), 'loaded')
        self.assertGreater(ticks, MODULES / 4)

    async def test_failure_restores_the_meta_path(self):
        def fail():
            raise ImportError('x')

        before = list(sys.meta_path)
        with self.assertRaises(ImportError):
            await background_import.async_run(fail)
        self.assertEqual(sys.meta_path, before)
