"""Tests of forwarding requests to the backend server."""

import asyncio
import unittest
import unittest.mock

from kumquatport.request import errors, messages, policy
from kumquatport.request.budget import budget
from kumquatport.request.limit import limit, sample
from kumquatport.request.proxy import (
    body,
    client,
    headers,
    request_context,
    retrying_client,
)
from tests.builders import exchanges

ADDRESS = '127.50.9.1'
PORT = 8000
BOUNDS = sample.Bounds(slots=5, start_share=1.0, double_s=1.0)


class Endpoint:
    """Address of the raw server."""

    address = ADDRESS
    port = PORT


class RawServer:
    """Reads requests and sends the given bytes, or closes the connection."""

    def __init__(self, answers):
        self.requests = []
        self._answers = list(answers)

    async def async_serve(self, reader, writer):
        try:
            while True:
                self.requests.append(await reader.readuntil(b'\r\n\r\n'))
                answer = self._answers.pop(0) if self._answers else b''
                writer.write(answer)
                if not answer:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


class SendingTest(unittest.IsolatedAsyncioTestCase):
    """Attempts and retries against a raw server."""

    async def asyncSetUp(self):
        self.clock = asyncio.get_running_loop().time
        self.client = client.BackendServerClient(Endpoint())
        await self.client.async_setup()
        self.addAsyncCleanup(self.client.async_stop)
        self.retried = unittest.mock.Mock()
        self.retry_budget = budget.RetryBudget(1.0)
        concurrency_limit = limit.ConcurrencyLimit(BOUNDS, self.clock)
        self.retrying_client = retrying_client.RetryingClient(
            self.client,
            concurrency_limit,
            self.retry_budget,
            self.clock,
            lambda: 0,
            self.retried,
        )

    async def serve(self, *answers):
        server = RawServer(answers)
        listener = await asyncio.start_server(server.async_serve, ADDRESS, PORT)
        self.addCleanup(listener.close)
        return server

    async def open(self, method='GET', repeatable=False, left_s=1.0, **fields):
        head = exchanges.head(method, '/orders', **fields)
        exchange = exchanges.RecordedExchange().exchange
        request_body = body.RequestBody(exchange)
        await request_body.async_prefetch()
        context = request_context.RequestContext(
            head=head,
            exchange=exchange,
            body=request_body,
            request_class=policy.RequestClass(repeatable=repeatable),
            client_account='default',
            service='desk',
            deadline_at=self.clock() + left_s,
            arrived_at=self.clock(),
        )
        response = await self.retrying_client.async_open(context, 1)
        response.close()

    async def test_unrepeatable_request_is_never_sent_twice(self):
        server = await self.serve()
        methods = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST')
        for method in methods:
            with self.subTest(method):
                with self.assertRaises(errors.AnswerMissingError):
                    await self.open(method)
        self.assertEqual(len(server.requests), len(methods))

    async def test_repeatable_is_sent_again_and_marked(self):
        server = await self.serve(b'', b'HTTP/1.1 204 No Content\r\n\r\n')
        await self.open(repeatable=True)
        self.assertEqual(len(server.requests), 2)
        self.retried.assert_called_once_with()
        self.assertNotIn(b'x-kumquatport-retry', server.requests[0].lower())
        self.assertIn(b'x-kumquatport-retry: 1', server.requests[1].lower())

    async def test_caller_retry_is_not_retried(self):
        server = await self.serve()
        with self.assertRaises(errors.AnswerMissingError):
            await self.open(repeatable=True, x_kumquatport_retry=1)
        self.assertEqual(len(server.requests), 1)

    async def test_no_retry_without_budget(self):
        self.retry_budget.configure(0.1)
        server = await self.serve()
        with self.assertRaises(errors.AnswerMissingError):
            await self.open(repeatable=True)
        self.assertEqual(len(server.requests), 1)

    async def test_refused_connection_is_unreachable(self):
        with self.assertRaises(errors.BackendServerUnreachableError):
            await self.open('POST')

    async def test_no_answer_until_the_deadline(self):
        closed = asyncio.Event()

        async def _async_serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            self.assertEqual(await reader.read(), b'')
            closed.set()
            writer.close()

        listener = await asyncio.start_server(_async_serve, ADDRESS, PORT)
        self.addCleanup(listener.close)
        with self.assertRaises(errors.AnswerTimeoutError):
            await self.open('POST', left_s=0.1)
        # Closing the connection lets the backend server stop working on it.
        await asyncio.wait_for(closed.wait(), 1)

    async def test_headers_sent(self):
        server = await self.serve(b'HTTP/1.1 204 No Content\r\n\r\n')
        await self.open(
            'POST',
            connection='x-drop',
            x_drop=1,
            x_kumquatport_service='other',
            x_deadline='0.5',
            x_keep=2,
        )
        sent = server.requests[0].lower()
        self.assertIn(b'host: shop.example', sent)
        self.assertIn(b'x-kumquatport-service: desk', sent)
        self.assertIn(b'x-keep: 2', sent)
        self.assertEqual(sent.count(b'x-deadline'), 1)
        self.assertNotIn(b'x-drop', sent)
        self.assertNotIn(b'other', sent)


class HeadersTest(unittest.TestCase):
    """Validation and filtering of headers."""

    def test_refused(self):
        cases = {
            'split path': exchanges.head(path='/a\r\nb'),
            'space in path': exchanges.head(path='/a b'),
            'no path': exchanges.head(path='a'),
            'split value': exchanges.head(x_a='1\r\nx-b: 2'),
            'upper case name': exchanges.head(X_A='1'),
        }
        for name, head in cases.items():
            with self.subTest(name):
                with self.assertRaises(errors.RequestMalformedError):
                    headers.validate(head)

    def test_too_large(self):
        with self.assertRaises(errors.HeadersTooLargeError):
            headers.validate(exchanges.head(x_a='a' * 20000))

    def test_connection_headers_are_removed_from_answers(self):
        kept = headers.to_caller(
            (
                ('Connection', 'close, X-Gone'),
                ('X-Gone', '1'),
                ('Transfer-Encoding', 'chunked'),
                ('X-Kumquatport-Outcome', 'not-run'),
                ('X-Checksum', 'ab'),
            )
        )
        self.assertEqual(kept, (('x-checksum', 'ab'),))


class BudgetTest(unittest.TestCase):
    """Retries stay within their share of the requests."""

    def test_share(self):
        retries = budget.RetryBudget(0.1)
        spent = 0
        for number in range(1, 1001):
            retries.deposit()
            spent += retries.try_withdraw()
            self.assertLessEqual(spent, 0.1 * number + 1e-9)
        self.assertGreaterEqual(spent, 99)


class PolicyTest(unittest.TestCase):
    """Class and client account of a request."""

    def setUp(self):
        self.policy = policy.build(
            {
                'name': 'desk',
                'classes': [
                    {
                        'name': 'sign-off',
                        'methods': ['POST'],
                        'path_prefix': '/sign',
                        'repeatable': False,
                        'deadline_s': None,
                    },
                ],
                'client_accounts': [{'name': 'hangar', 'share': 2}],
            }
        )

    def test_class(self):
        matching = policy.classify(
            self.policy, exchanges.head('POST', '/sign/1')
        )
        self.assertEqual(matching.name, 'sign-off')
        other = policy.classify(self.policy, exchanges.head('POST', '/x'))
        self.assertFalse(other.repeatable)
        safe = policy.classify(self.policy, exchanges.head('GET', '/x'))
        self.assertTrue(safe.repeatable)

    def test_client_account(self):
        known: messages.Headers = (('x-client-account', 'hangar'),)
        self.assertEqual(policy.client_account_of(self.policy, known), 'hangar')
        unknown: messages.Headers = (('x-client-account', 'nobody'),)
        self.assertEqual(
            policy.client_account_of(self.policy, unknown), 'default'
        )
