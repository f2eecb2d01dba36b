"""Tests of addresses that other instances use again."""

from kumquatport.connection.packets import frame
from kumquatport.process.packets import const, messages
from kumquatport.version import members
from kumquatport.version.members import const as members_const
from tests.builders import balancers
from tests.builders import packets as builders

ADDRESS = '10.0.0.11'
FORMER, CURRENT = 'side-1', 'side-9'


class ReusedAddressTest(balancers.BalancerTestCase):
    """A balancer that knows the former owner of an address."""

    def record(self, instance, incarnation):
        service = 'manuals' if instance == FORMER else 'store'
        return builders.record(
            instance, address=ADDRESS, incarnation=incarnation, service=service
        )

    def hear(self, instance, incarnation):
        """Deliver a heartbeat of an agent."""
        self.mesh.on_datagram(
            messages.encode(
                messages.Heartbeat(
                    self.record(instance, incarnation),
                    builders.load(),
                    self.configuration.snapshot(with_changes=False),
                    wants_reply=False,
                )
            ),
            (ADDRESS, 7000),
        )

    def learn(self, instance, incarnation):
        """Deliver a record that another instance, or the store, holds."""
        self.mesh.learn_record(self.record(instance, incarnation))

    def hear_for(self, seconds, instance, incarnation):
        for second in range(seconds):
            self.now += 1
            self.hear(instance, incarnation)
            self.mesh.send_heartbeats(second)

    def services(self):
        return set(self.mesh.registry.services())

    def test_later_owner_takes_the_address_at_once(self):
        self.hear(FORMER, 1000)
        self.hear(CURRENT, 2000)
        self.assertEqual(self.mesh.instance_at(ADDRESS), CURRENT)
        self.assertEqual(self.services(), {'store'})

    def test_owner_whose_clock_is_behind_takes_the_address_of_a_silent_one(
        self,
    ):
        """Its frames were ignored: the address belonged to a lost instance."""
        self.hear(FORMER, 2000)
        self.hear(CURRENT, 1000)
        self.assertEqual(self.mesh.instance_at(ADDRESS), FORMER)
        self.hear_for(4, CURRENT, 1000)
        self.assertEqual(self.mesh.instance_at(ADDRESS), CURRENT)
        self.assertEqual(self.services(), {'store'})
        self.hear_for(int(const.PEER_EXPIRY_S), CURRENT, 1000)
        self.assertEqual(self.mesh.instance_at(ADDRESS), CURRENT)

    def test_opening_returned_by_an_owner_whose_clock_is_behind_is_offered_on(
        self,
    ):
        self.hear(FORMER, 2000)
        self.hear_for(4, CURRENT, 1000)
        flow = builders.flow()
        opening = builders.datagram(flow, builders.SYN)
        self.forwarder.on_client(opening, (builders.CLIENT, 9000))
        other = builders.record('side-2', address='10.0.0.12', incarnation=1000)
        self.mesh.on_datagram(
            messages.encode(
                messages.Heartbeat(
                    other,
                    builders.load(),
                    self.configuration.snapshot(with_changes=False),
                    wants_reply=False,
                )
            ),
            ('10.0.0.12', 7000),
        )
        self.sent.clear()
        returned = frame.pack(frame.KIND_RETURN, frame.REASON_FULL, 1, opening)
        self.forwarder.on_frame(returned, ADDRESS)
        self.assertEqual(
            [
                endpoint[0]
                for datagram, endpoint in self.sent
                if datagram[0] == frame.KIND_FORWARD
            ],
            ['10.0.0.12'],
        )

    def test_former_owner_is_not_learned_again(self):
        """Lookups waited for an answer of an instance that was lost."""
        for former, current in ((1000, 2000), (2000, 1000)):
            with self.subTest(former=former, current=current):
                self.hear(FORMER, former)
                self.hear_for(4, CURRENT, current)
                self.learn(FORMER, former)
                self.assertEqual(self.mesh.instance_at(ADDRESS), CURRENT)
                self.assertEqual(self.services(), {'store'})

    def test_records_of_one_address_leave_one_owner_whatever_their_order(self):
        """A balancer that starts reads the records of both from the store."""
        for first, second in ((FORMER, CURRENT), (CURRENT, FORMER)):
            with self.subTest(first=first):
                self.setUp()
                incarnations = {FORMER: 1000, CURRENT: 2000}
                self.learn(first, incarnations[first])
                self.learn(second, incarnations[second])
                self.assertEqual(self.services(), {'store'})

    def test_later_owner_that_another_instance_reports_is_greeted(self):
        """It takes the address when it is heard."""
        self.hear(FORMER, 1000)
        self.sent.clear()
        self.learn(CURRENT, 2000)
        self.assertEqual(self.mesh.instance_at(ADDRESS), FORMER)
        (greeting,) = (
            messages.decode(datagram)
            for datagram, endpoint in self.sent
            if endpoint[0] == ADDRESS and datagram[0] == frame.KIND_CONTROL
        )
        self.assertTrue(greeting.wants_reply)
        self.hear(CURRENT, 2000)
        self.assertEqual(self.mesh.instance_at(ADDRESS), CURRENT)

    def test_lost_instance_that_is_only_reported_expires(self):
        """Lookups of lost flows wait for an answer of it."""
        self.learn(FORMER, 1000)
        for second in range(int(const.PEER_EXPIRY_S) + 5):
            self.now += 1
            self.mesh.send_heartbeats(second)
        self.assertEqual(self.services(), set())

    def test_departed_instance_takes_no_address(self):
        self.hear(CURRENT, 2000)
        gone = self.record(FORMER, 3000)._replace(
            state=members_const.STATE_GONE
        )
        self.mesh.learn_record(gone)
        self.assertTrue(members.is_departed(gone))
        self.assertEqual(self.mesh.instance_at(ADDRESS), CURRENT)
