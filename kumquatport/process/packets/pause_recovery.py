"""Confirmation of the configuration after this process was paused."""

import math
from collections import abc

import structlog

from kumquatport.connection.packets import pause_detection
from kumquatport.helpers import clock
from kumquatport.process.packets import known_configuration, messages
from kumquatport.version import members

_LOGGER = structlog.get_logger(__name__)


class PauseRecovery:
    """Detects pauses of this process and requests confirmation after them."""

    def __init__(
        self,
        own: str,
        registry: members.Registry,
        configuration: known_configuration.KnownConfiguration,
        send: abc.Callable[[bytes, str], object],
    ) -> None:
        """Start without a pause.

        Args:
            own: Name of this instance.
            registry: Records of the known instances.
            configuration: Configuration known to this process.
            send: Sends a message to the instance at an address.
        """
        self._own = own
        self._registry = registry
        self._configuration = configuration
        self._send = send
        self._pauses = pause_detection.PauseDetector(clock.now())

    def is_unconfirmed(self) -> bool:
        """Return whether this process was paused and is not confirmed yet.

        A newly detected pause requests a confirmation at once. This is called
        periodically and before each decision that depends on the
        configuration.
        """
        now = clock.now()
        if self._pauses.check(now):
            _LOGGER.warning('process was paused', pause=self._pauses.token)
            self.request_confirmation()
        return self._pauses.is_unconfirmed(now)

    def received_age_s(self, age_s: float) -> float:
        """Return the age that a heartbeat read now proves; infinity for none.

        A heartbeat that waited while this process was paused carries an age
        from before the pause. Taken for a present one and passed on, it would
        keep all balancers from reading the store.

        Args:
            age_s: Age that the heartbeat carries, in seconds.
        """
        if self._pauses.may_have_paused(clock.now()):
            return math.inf
        return age_s

    def request_confirmation(self) -> None:
        """Request a confirmation from all balancers; the first one counts."""
        request = messages.encode(
            messages.ConfirmationRequest(self._pauses.token)
        )
        for record in self._registry.balancers():
            if record.instance != self._own:
                self._send(request, record.address)

    def send_confirmation(
        self,
        request: messages.ConfirmationRequest,
        address: str,
        *,
        was_draining: bool,
    ) -> None:
        """Answer a confirmation request, unless this process was paused too.

        Args:
            request: The request.
            address: Address of the instance that sent it.
            was_draining: Whether the backend server of that instance was
                draining when it last reported.
        """
        if self.is_unconfirmed():
            return
        state = self._configuration.snapshot(with_changes=False)
        confirmation = messages.Confirmation(request.token, state, was_draining)
        self._send(messages.encode(confirmation), address)

    def handle_confirmation(
        self, confirmation: messages.Confirmation, balancer: str
    ) -> None:
        """Accept a confirmation if the routes are up to date.

        Args:
            confirmation: Confirmation whose configuration has been merged.
            balancer: Name of the balancer that sent it.
        """
        if (
            confirmation.configuration.routes_version
            > self._configuration.routes_version
        ):
            # The request is repeated after the routes have been fetched.
            return
        if self._pauses.confirm(confirmation.token, clock.now()):
            _LOGGER.info('configuration confirmed after a pause', peer=balancer)
