"""Asking what is in force after this process has stood still."""

from collections import abc

import structlog

from kumquatport.connection.packets import pause_detection
from kumquatport.helpers import clock
from kumquatport.process.packets import known_configuration, messages
from kumquatport.version import members

_LOGGER = structlog.get_logger(__name__)


class PauseRecovery:
    """The pauses of this process, and its questions after them."""

    def __init__(
        self,
        own: str,
        registry: members.Registry,
        held: known_configuration.KnownConfiguration,
        send: abc.Callable[[bytes, str], object],
    ) -> None:
        """Start as not paused.

        Args:
            own: Name of this instance.
            registry: Records of the instances that this process keeps.
            held: Beliefs of this process.
            send: Sends a message to the instance at an address.
        """
        self._own = own
        self._registry = registry
        self._configuration = held
        self._send = send
        self._pauses = pause_detection.PauseDetector(clock.now())

    def is_unconfirmed(self) -> bool:
        """Tell whether this process stood still and has not caught up.

        It asks as soon as it notices. Called before each act on what it
        believes, and regularly.
        """
        now = clock.now()
        if self._pauses.check(now):
            _LOGGER.warning('stood still', pause=self._pauses.token)
            self.request_confirmation()
        return self._pauses.is_unconfirmed(now)

    def request_confirmation(self) -> None:
        """Ask all balancers; the first answer will do."""
        question = messages.encode(
            messages.ConfirmationRequest(self._pauses.token)
        )
        for record in self._registry.balancers():
            if record.instance != self._own:
                self._send(question, record.address)

    def send_confirmation(
        self,
        question: messages.ConfirmationRequest,
        address: str,
        *,
        was_draining: bool,
    ) -> None:
        """Tell who stood still what is in force, if this process went on.

        Args:
            question: As it came.
            address: Of who asks.
            was_draining: Whether its backend server was draining when it last told.
        """
        if self.is_unconfirmed():
            return
        told = self._configuration.snapshot(with_changes=False)
        answer = messages.Confirmation(question.token, told, was_draining)
        self._send(messages.encode(answer), address)

    def handle_confirmation(
        self, answer: messages.Confirmation, balancer: str
    ) -> None:
        """End the doubt if this process holds what is in force.

        Args:
            answer: Whose beliefs have been taken.
            balancer: Who gave it.
        """
        if (
            answer.configuration.routes_version
            > self._configuration.routes_version
        ):
            # The question is repeated after the routes have been fetched.
            return
        if self._pauses.confirm(answer.token, clock.now()):
            _LOGGER.info('caught up', peer=balancer)
