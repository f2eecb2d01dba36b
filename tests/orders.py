"""Callers that retry orders until their outcome is known."""

import asyncio
import collections
import json
import random
import typing
import uuid

from tests import deployment
from tests.standins import caller
from tests.standins import caller_errors as errors

ATTEMPTS = 6
ANSWER_TIMEOUT_S = 4.0
RETRY_DELAY_S = 0.3
REPEAT_SHARE = 0.2
RECEIPT = 'receipt'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
LOST = 'lost'


class Order(typing.NamedTuple):
    """Outcomes of the attempts with one idempotency key."""

    key: str
    outcomes: tuple[str, ...]
    receipts: tuple[dict, ...]


class Orders:
    """Sends orders from several concurrent callers."""

    def __init__(
        self, target: deployment.Deployment, service: str, seed: int
    ) -> None:
        self.completed: list[Order] = []
        self.failure_counts: collections.Counter[str] = collections.Counter()
        self._target = target
        self._service = service
        self._random = random.Random(seed)
        self._remaining = 0

    async def async_send(self, count: int, callers: int) -> None:
        """Send orders, each until it is answered or its attempts are used."""
        self._remaining = count
        await asyncio.gather(*(self._async_caller() for _ in range(callers)))

    async def _async_caller(self) -> None:
        connection: caller.Connection | None = None
        while self._remaining > 0:
            self._remaining -= 1
            connection = await self._async_order(connection)
        if connection is not None:
            await connection.async_close()

    async def _async_order(
        self, connection: caller.Connection | None
    ) -> caller.Connection | None:
        """Send one order until completed; return a usable connection, if any."""
        key = uuid.UUID(int=self._random.getrandbits(128)).hex
        outcomes: list[str] = []
        receipts: list[dict] = []
        while len(outcomes) < ATTEMPTS:
            connection = connection or await self._async_open()
            if connection is None:
                outcomes.append(NOT_RUN)
                continue
            outcome, receipt = await self._async_attempt(connection, key)
            outcomes.append(outcome)
            if receipt is not None:
                receipts.append(receipt)
            if outcome == RECEIPT and not self._should_repeat(outcomes):
                break
            if outcome != RECEIPT:
                await asyncio.sleep(RETRY_DELAY_S)
            # A new connection lets the retry reach any backend server.
            connection.abandon()
            connection = None
        self.completed.append(Order(key, tuple(outcomes), tuple(receipts)))
        return connection

    def _should_repeat(self, outcomes: list[str]) -> bool:
        if outcomes.count(RECEIPT) > 1:
            return False
        return self._random.random() < REPEAT_SHARE

    async def _async_open(self) -> caller.Connection | None:
        try:
            return await caller.async_connect(
                self._target.service_endpoint(self._service),
                self._target.ca,
                self._service,
                local=(self._target.caller_address, 0),
            )
        except errors.CallerError as error:
            self.failure_counts[f'open {type(error).__name__}'] += 1
            return None

    async def _async_attempt(
        self, connection: caller.Connection, key: str
    ) -> tuple[str, dict | None]:
        headers = {'x-client-account': 'hangar', 'idempotency-key': key}
        try:
            answer = await connection.async_request(
                'POST',
                '/orders',
                headers,
                b'{"item": "cups"}',
                ANSWER_TIMEOUT_S,
            )
        except errors.GoawayError:
            return NOT_RUN, None
        except errors.StreamResetError as error:
            self.failure_counts[repr(error)] += 1
            return (NOT_RUN if error.rejected else LOST), None
        except errors.CallerError as error:
            self.failure_counts[type(error).__name__] += 1
            return LOST, None
        if answer.status == 200:
            return RECEIPT, json.loads(answer.body)
        code = answer.headers.get('x-kumquatport-code', '')
        self.failure_counts[f'{answer.status} {code}'] += 1
        return answer.headers.get('x-kumquatport-outcome', UNKNOWN), None
