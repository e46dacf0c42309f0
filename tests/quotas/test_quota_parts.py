"""Tests of the parts that decide on quotas."""

import unittest

from galenatack.messages import quota_ask
from galenatack.model import member_status
from galenatack.model import quota_need
from galenatack.model import tenant as tenant_model
from galenatack.quotas import node_count
from galenatack.quotas import own_shares
from galenatack.quotas import pledges
from galenatack.quotas import quota_book
from galenatack.quotas import quota_client
from galenatack.quotas import quota_owner
from galenatack.quotas import quota_terms
from galenatack.quotas import tenant_account
from galenatack.settings import fleet_bounds
from galenatack.tenants import tenant_table
from tests.fakes import manual_clock
from tests.fakes import member_records

TERMS = quota_terms.QuotaTerms(rate_per_s=10.0, capacity=40.0)
BOUNDS = fleet_bounds.FleetBounds()
GROUP = quota_book.group_of("t")


def need(**fields):
    """Returns a need without requests, but for some fields."""
    empty = quota_need.QuotaNeed("t", 0, 0, 0, 0, 0, False, 0.0)
    return empty._replace(**fields)


def make_book(rate_per_s=100.0, burst=0.0):
    """Returns a book with one tenant."""
    table = tenant_table.TenantTable(
        [tenant_model.Tenant("t", (), rate_per_s=rate_per_s, burst=burst)]
    )
    return quota_book.QuotaBook(in_force=lambda: table, bounds=BOUNDS)


class TestQuotaTerms(unittest.TestCase):
    def test_tokens_of_a_window_stay_below_the_bound(self):
        """The rest is for requests that run later than they are admitted."""
        for rate, burst in ((1, 0), (100, 0), (1000, 500), (10, 100)):
            tenant = tenant_model.Tenant("t", (), rate_per_s=rate, burst=burst)
            terms = quota_terms.of(tenant, BOUNDS)
            bound = (rate * 5 + burst) * 1.1 + 20
            self.assertLess(terms.capacity + terms.rate_per_s * 5, bound - 5)

    def test_a_tenant_without_a_rate_has_no_limit(self):
        """Guards against tenants that are refused everything."""
        self.assertIsNone(quota_terms.of(tenant_model.Tenant("t", ()), BOUNDS))
        self.assertEqual(make_book(rate_per_s=0.0).groups(), frozenset())


class TestQuotaBook(unittest.TestCase):
    def test_changed_bounds_hold_without_a_new_configuration(self):
        """The settings file is read again while the node runs."""
        book = make_book()
        before = book.terms("t")
        book.apply(BOUNDS._replace(quota_slack=60))
        self.assertEqual(book.terms("t").capacity, before.capacity + 20)

    def test_a_table_that_fails_is_not_taken_as_read(self):
        """Its tenants would have no limits from the second request on."""
        table = tenant_table.TenantTable(
            [tenant_model.Tenant("\ud800", (), rate_per_s=1.0, burst=0.0)]
        )
        book = quota_book.QuotaBook(in_force=lambda: table, bounds=BOUNDS)
        for _ in range(2):
            with self.assertRaises(UnicodeEncodeError):
                book.groups()


class TestTenantAccount(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.account = tenant_account.TenantAccount(clock=self.clock)
        self.account.update(TERMS)

    def wait(self, duration_s):
        """Lets time pass, with regular updates."""
        self.clock.advance(duration_s)
        self.account.update(TERMS)

    def test_a_new_owner_begins_without_tokens(self):
        """The owner before may have granted all of them just now."""
        part = self.account.grant("a", need(waiting=3, wanted=3, is_short=True))
        self.assertEqual((part.direct, part.reserved), (0, 0))

    def test_held_tokens_count_against_the_capacity(self):
        """All tokens that nodes hold may be used in the same moment."""
        self.wait(10.0)
        part = self.account.grant("a", need(wanted=30))
        self.assertEqual(part.reserved, 30)
        for _ in range(10):
            self.wait(0.1)
        part = self.account.grant("b", need(wanted=99, is_short=True))
        self.assertEqual(part.reserved, 10)

    def test_returned_tokens_can_be_granted_again_and_lost_ones_cannot(self):
        """A node that says nothing may have used its tokens."""
        self.wait(10.0)
        self.account.grant("a", need(wanted=15))
        self.account.grant("b", need(wanted=15))
        self.account.grant("a", need(returned=15))
        part = self.account.grant("c", need(wanted=99, is_short=True))
        self.assertEqual(part.reserved, 25)
        # Lost tokens leave room, which is filled at the rate from then on.
        self.wait(tenant_account.TOKEN_S)
        self.wait(1.5)
        part = self.account.grant("c", need(wanted=99, is_short=True))
        self.assertEqual(part.reserved, 15)

    def test_a_node_cannot_return_more_than_it_holds(self):
        """A late report is about tokens that have expired here."""
        self.wait(10.0)
        self.account.grant("a", need(wanted=10))
        self.wait(tenant_account.TOKEN_S)
        self.account.grant("a", need(returned=10, used=10))
        self.assertEqual(self.account.outstanding, 0)
        part = self.account.grant("b", need(waiting=99))
        self.assertEqual(part.direct, 30)

    def test_tokens_are_kept_for_requests_that_wait(self):
        """Nodes that expect requests would otherwise hold all of them."""
        self.wait(10.0)
        for name in "abcdefgh":
            self.account.grant(name, need(standing=9))
        part = self.account.grant("z", need(waiting=28))
        self.assertEqual(part.direct, 28)


class TestPledges(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.clock.advance(100.0)
        self.book = make_book()
        self.owner = quota_owner.QuotaOwner(
            clock=self.clock, book=self.book, nodes=lambda: 2
        )

    def share_after(self, stamp_ms):
        """Returns what is lent after a question with a stamp."""
        ask = quota_ask.QuotaAsk(GROUP, 2, stamp_ms, 2000, False, ())
        self.owner.handle("a", ask)
        return self.owner.shares().get(GROUP, 0.0)

    def test_a_share_that_was_lent_ends_by_the_stamp(self):
        """A question may be under way for longer than the share is lent."""
        stamp_ms = self.owner.handle(
            "a", quota_ask.QuotaAsk(GROUP, 2, 0, 2000, False, ())
        ).stamp_ms
        self.assertEqual(self.share_after(0), 0.0)
        self.assertEqual(self.share_after(stamp_ms), 0.5)
        self.clock.advance(2.1)
        self.assertEqual(self.share_after(stamp_ms), 0.0)

    def test_a_stamp_of_another_run_lends_nothing(self):
        """The owner has restarted, or runs on another machine."""
        self.assertEqual(self.share_after(99_000), 0.0)
        self.assertEqual(self.share_after(200_000), 0.0)

    def test_an_owner_that_knows_few_nodes_believes_those_that_lend(self):
        """It has just started, and would take their shares for all."""
        lent = pledges.Pledges()
        lent.renew("a", until_s=10.0, nodes=80)
        self.assertEqual(lent.share(5.0, nodes=1), 1 / 80)
        self.assertEqual(lent.share(10.0, nodes=1), 0.0)


class TestQuotaClient(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.book = make_book(rate_per_s=100.0)
        self.client = quota_client.QuotaClient(
            own_id="a", clock=self.clock, book=self.book, nodes=lambda: 4
        )
        self.owner = quota_owner.QuotaOwner(
            clock=self.clock, book=self.book, nodes=lambda: 4
        )
        self.clock.advance(10.0)

    def ask(self, owner="o", waiting=0):
        """Asks an owner and takes its reply; returns the question."""
        self.client.former_owner(GROUP, owner)
        ask = self.client.make_ask(GROUP, {"t": waiting})
        grant = self.owner.handle("a", ask)
        self.client.apply(
            ask, grant, owner=owner, asked_s=self.clock.monotonic_s()
        )
        return ask

    def test_a_node_uses_or_lends_its_share_and_never_both(self):
        """The owner could grant what the node uses itself."""
        self.assertTrue(self.client.uses_own_share(GROUP))
        self.assertEqual(self.ask().stamp_ms, 0)
        self.assertGreater(self.ask().stamp_ms, 0)
        self.assertFalse(self.client.uses_own_share(GROUP))
        self.clock.advance(1.9)
        self.assertFalse(self.client.uses_own_share(GROUP))
        self.clock.advance(0.2)
        self.assertTrue(self.client.uses_own_share(GROUP))

    def test_a_share_is_lent_to_one_owner_at_a_time(self):
        """Nodes that see other members choose other owners."""
        self.ask()
        self.ask()
        self.assertEqual(self.client.former_owner(GROUP, "p"), "o")
        self.ask("p")
        self.assertEqual(self.ask("p").stamp_ms, 0)
        self.client.released(GROUP, "o")
        self.assertGreater(self.ask("p").stamp_ms, 0)

    def test_a_node_that_restarts_lends_and_uses_nothing_at_first(self):
        """The run before may have lent the share until now."""
        self.client = quota_client.QuotaClient(
            own_id="a", clock=self.clock, book=self.book, nodes=lambda: 4
        )
        self.ask()
        self.assertEqual(self.ask().stamp_ms, 0)
        self.assertIsNone(self.client.take("t"))

    def test_a_node_that_has_counted_no_nodes_has_no_share(self):
        """It would take the whole quota for its own."""
        self.client = quota_client.QuotaClient(
            own_id="a", clock=self.clock, book=self.book, nodes=lambda: 0
        )
        self.clock.advance(10.0)
        self.assertFalse(self.client.uses_own_share(GROUP))
        self.assertIsNone(self.client.take("t"))

    def test_own_shares_begin_empty_and_fill_at_their_rate(self):
        """The owner may have used them up just before."""
        runs = 0
        for _ in range(1000):
            runs += self.client.take("t") is not None
            self.clock.advance(0.01)
        self.assertLess(runs, 10 * 103 / 4 + 1)
        self.assertGreater(runs, 10 * 100 / 4 - 1)


class TestOwnShares(unittest.TestCase):
    def test_shares_below_one_token_add_up_to_the_quota(self):
        """One token for each of 82 nodes would be several times the burst."""
        clock = manual_clock.ManualClock()
        shares = [
            own_shares.OwnShares(own_id=f"n{n}", clock=clock) for n in range(82)
        ]
        for share in shares:
            share.take("t", TERMS, nodes=82)
        clock.advance(1000.0)
        runs = sum(share.take("t", TERMS, nodes=82) for share in shares)
        self.assertLess(abs(runs - TERMS.capacity), 10)


class TestNodeCount(unittest.TestCase):
    def test_nodes_that_are_gone_count_unless_they_have_left(self):
        """They may be cut off, and use their share."""
        clock = manual_clock.ManualClock()
        count = node_count.NodeCount(clock=clock)
        records = [member_records.build(f"n{n}") for n in range(5)]
        count.update(records)
        leaving = records[0]._replace(
            status=member_status.MemberStatus.LEAVING.value
        )
        count.update([leaving, *records[2:]])
        self.assertEqual(count.count, 4)
        clock.advance(node_count.KEPT_S + 1)
        count.update(records[2:])
        self.assertEqual(count.count, 3)

    def test_a_node_that_starts_counts_dead_nodes_that_have_not_left(self):
        """A cut-off side whose nodes restart would forget the other side."""
        clock = manual_clock.ManualClock()
        count = node_count.NodeCount(clock=clock)
        dead = [
            member_records.build(f"n{n}")._replace(
                status=member_status.MemberStatus.DEAD.value, has_left=n == 0
            )
            for n in range(4)
        ]
        live = member_records.build("n9")
        count.update([live, *dead])
        self.assertEqual(count.count, 4)
        # A dead node does not count anew while its record is not hidden yet.
        clock.advance(node_count.KEPT_S + 1)
        for _ in range(2):
            count.update([live, *dead])
        self.assertEqual(count.count, 1)
