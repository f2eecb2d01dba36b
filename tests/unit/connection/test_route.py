"""Tests of the routing of callers' packets."""

import unittest

from kumquatport.connection.connection_id import codec
from kumquatport.connection.forward import route
from kumquatport.helpers import tags

KEY = bytes(range(32))
CALLER = ('127.0.0.5', 40001)
AGENT = ('127.2.0.1', 7100)
RANKED_AGENT = ('127.2.0.2', 7100)
STOREFRONT = tags.service_tag('storefront')
MANUALS = tags.service_tag('manuals')


def issue(service, domain):
    domain_tag = tags.failure_domain_tag(domain)
    return codec.make_issuer(KEY, AGENT, service, domain_tag)()


def short_packet(connection_id):
    return memoryview(b'\x40' + connection_id + bytes(40))


def long_packet(connection_id, size=1200):
    head = b'\xc0\x00\x00\x00\x01' + bytes((len(connection_id),))
    return memoryview((head + connection_id).ljust(size, b'\0'))


class RouteTest(unittest.TestCase):
    """Established flows are routed by connection ID, new flows by table."""

    def setUp(self):
        domains = (('accra-a', False), ('accra-b', True))
        known = route.make_known_domains(domains)
        self.route = route.make_route(
            STOREFRONT,
            codec.make_decoder(KEY),
            lambda: known,
            lambda _hash, _count: (RANKED_AGENT,),
        )

    def test_established_flow_is_routed_to_its_agent(self):
        packet = short_packet(issue(STOREFRONT, 'accra-a'))
        self.assertEqual(self.route(packet, CALLER).endpoint, AGENT)
        packet = long_packet(issue(STOREFRONT, 'accra-a'), 200)
        self.assertEqual(self.route(packet, CALLER).endpoint, AGENT)

    def test_opening_packet_is_routed_by_table(self):
        packet = long_packet(b'12345678')
        self.assertEqual(self.route(packet, CALLER).endpoint, RANKED_AGENT)

    def test_domain_taken_out_receives_no_packets(self):
        packet = short_packet(issue(STOREFRONT, 'accra-b'))
        decision = self.route(packet, CALLER)
        self.assertIsNone(decision.endpoint)
        self.assertTrue(decision.is_lost)

    def test_packet_of_another_service_is_dropped(self):
        packet = short_packet(issue(MANUALS, 'accra-a'))
        decision = self.route(packet, CALLER)
        self.assertEqual(decision.reason, 'dropped.foreign_connection')
        self.assertIsNone(decision.endpoint)

    def test_malformed_packets_are_dropped(self):
        for packet in (b'', b'\x40', b'\xc0\0\0\0\1\xff', bytes(17)):
            decision = self.route(memoryview(packet), CALLER)
            self.assertIsNone(decision.endpoint)
            self.assertFalse(decision.is_lost)

    def test_short_opening_is_dropped(self):
        decision = self.route(long_packet(b'12345678', 600), CALLER)
        self.assertEqual(decision.reason, 'dropped.short_opening')
