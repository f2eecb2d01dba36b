"""Root service of the console process."""

import asyncio
import ssl
import time
import typing
from collections import abc

import mode
from aiohttp import web

import kumquatport
from kumquatport import const as shared_const
from kumquatport import exceptions
from kumquatport.connection.control import client, frame, traffic
from kumquatport.platform import client as platform
from kumquatport.process.console import app, const, context, passwords
from kumquatport.process.metrics import flusher, registry
from kumquatport.process.settings import models
from kumquatport.process.status import models as status_models
from kumquatport.process.status import server as status_server
from kumquatport.process.tls import context as tls_context
from kumquatport.process.tls import material, watcher
from kumquatport.version import acceptance
from kumquatport.version.acceptance import const as acceptance_const
from kumquatport.version.replication import publish


class Console(mode.Service):
    """Serves the forms; its only state is the recently failed sign-ins."""

    def __init__(self, settings: models.ConsoleSettings) -> None:
        """Initialize the console without listening.

        Args:
            settings: Settings of this process.
        """
        super().__init__()
        self._settings = settings
        self._metrics = registry.Registry()
        self._metrics.add_sampler(self._sample_platform_calls)
        self._started_s = time.monotonic()
        self._state = 'starting'
        self._tls_context: ssl.SSLContext | None = None
        self._runner: web.AppRunner | None = None
        self._background_tasks: set[asyncio.Task[typing.Any]] = set()
        self._control_client = client.ControlClient(
            frame.control_key(settings.common.shared_key), traffic.Traffic()
        )
        self._platform_client = platform.PlatformClient(
            settings.common.platform.url,
            max(
                settings.common.platform.timeout_s,
                acceptance_const.PLATFORM_TIMEOUT_S,
            ),
        )

    async def on_start(self) -> None:
        """Start the dependencies and listen.

        Raises:
            StartError: A port is already in use.
            TlsMaterialError: The certificate or key is not valid.
        """
        await self.add_runtime_dependency(self._platform_client)
        await self.add_runtime_dependency(self._control_client)
        common = self._settings.common
        await self.add_runtime_dependency(
            status_server.Server(
                common.listen_address,
                common.status_port,
                self._status,
                self._metrics,
            )
        )
        await self.add_runtime_dependency(
            flusher.Flusher(
                common.statsd,
                self._metrics,
                shared_const.KIND_CONSOLE,
                common.instance,
            )
        )
        if self._settings.tls is not None:
            await self.add_runtime_dependency(
                watcher.Watcher(
                    self._settings.tls,
                    self._replace_tls,
                    read_object=self._async_read_object,
                )
            )
        await self._async_listen()
        self._state = 'ready'

    async def on_stop(self) -> None:
        """Wait for requests and background tasks in progress."""
        self._state = 'gone'
        if self._runner is not None:
            await self._runner.cleanup()
        if self._background_tasks:
            await asyncio.wait(
                self._background_tasks, timeout=const.SHUTDOWN_TIMEOUT_S
            )

    async def _async_listen(self) -> None:
        """Listen for requests of the forms.

        Raises:
            StartError: The port is already in use.
        """
        page_context = context.PageContext(
            client=self._platform_client,
            password_checker=passwords.PasswordChecker(
                self._settings.operators
            ),
            signing_key=bytes(self._settings.session_key),
            instances=self._settings.instances,
            secure=self._settings.tls is not None,
            record_acceptance=self._record_acceptance,
            count_event=self._metrics.count,
        )
        self._runner = web.AppRunner(
            app.build(page_context),
            access_log=None,
            shutdown_timeout=const.SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        endpoint = self._settings.listen
        site = web.TCPSite(
            self._runner,
            endpoint.address,
            endpoint.port,
            ssl_context=self._tls_context,
        )
        try:
            await site.start()
        except OSError as error:
            raise exceptions.StartError(
                f'console on {endpoint.address}:{endpoint.port}: '
                f'{error.strerror}'
            ) from error

    def _replace_tls(self, loaded: material.Material) -> None:
        """Use another certificate for new connections."""
        if self._tls_context is None:
            self._tls_context = tls_context.create_server_context(loaded)
        else:
            tls_context.load_certificate(self._tls_context, loaded)

    async def _async_read_object(self, key: str) -> bytes:
        stored = await self._platform_client.async_get(key)
        return stored.value

    def _record_acceptance(self, accepted: acceptance.Accepted) -> None:
        """Write the audit entry while the operator receives the response.

        Also sends the document to a few balancers, so that it is distributed
        even if the platform fails now.
        """
        self._run_in_background(
            acceptance.async_record(self._platform_client, accepted)
        )
        if accepted.replacement is not None:
            stored = accepted.replacement.after
            self._run_in_background(
                self._async_hand_over(stored.version, stored.value)
            )

    def _run_in_background(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Start a background task that a stop waits for."""
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _async_hand_over(self, version: int, value: bytes) -> None:
        seeds = self._settings.common.seeds[: const.MAX_HANDOVER_BALANCERS]
        endpoints = [f'{seed.address}:{seed.port}' for seed in seeds]
        holder_count = await publish.async_publish(
            self._control_client, endpoints, version, value
        )
        self._metrics.count(const.COUNT_HANDED_OVER, holder_count)

    def _status(self) -> status_models.Status:
        common = self._settings.common
        return {
            'instance': common.instance,
            'kind': shared_const.KIND_CONSOLE,
            'failure_domain': common.failure_domain,
            'service': '',
            'state': self._state,
            'release': kumquatport.__version__,
            'document_version': 0,
            'uptime_s': time.monotonic() - self._started_s,
            'member_counts': {},
            'members': [],
            'metrics': self._metrics.snapshot(),
        }

    def _sample_platform_calls(self) -> None:
        """Copy the call counts of the platform client to the metrics."""
        for kind, count in self._platform_client.calls.items():
            self._metrics.counters[f'{const.COUNT_CALLS_PREFIX}{kind}'] = count
