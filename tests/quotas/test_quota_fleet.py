"""Tests of quotas over all nodes, judged from outside, in virtual time."""

import asyncio
import random
import unittest

from galenatack.model import member_status
from galenatack.quotas import quota_book
from galenatack.quotas import quota_client
from tests.quotas import quota_fleet

TWO_CENTRES = slice(0, 2)
"""Data centres take turns in the list of nodes."""


def load_all(fleet, factor, names=None):
    """Sets the demand of each tenant as a multiple of its rate."""
    for tenant, (rate, _) in fleet.limits.items():
        fleet.load(tenant, rate * factor, names or fleet.names)


def two_centres(fleet):
    """Returns the nodes of two of the four data centres."""
    return fleet.names[0::4] + fleet.names[1::4]


def now_s():
    """Returns the virtual time."""
    return asyncio.get_running_loop().time()


class TestQuotaFleet(unittest.TestCase):
    def check(self, fleet, *, loss=None, since_s=5.0):
        """Checks the bound, and what of the owed requests is refused."""
        for tenant in fleet.limits:
            self.assertLessEqual(fleet.excess(tenant), 1.0, tenant)
            if loss is not None:
                lost = fleet.loss(tenant, since_s)
                self.assertLessEqual(lost, loss, tenant)

    def test_tenants_below_their_quota_are_hardly_ever_refused(self):
        """Demand moves between nodes at random, and quotas are tight."""
        for factor, loss in ((0.5, 0.01), (0.9, 0.03)):

            async def scenario(fleet, factor=factor, loss=loss):
                load_all(fleet, factor)
                await asyncio.sleep(20.0)
                self.check(fleet, loss=loss)

            quota_fleet.run(scenario)

    def test_a_quota_can_be_used_from_two_data_centres(self):
        """Equal shares of all nodes would refuse half of it."""

        async def scenario(fleet):
            load_all(fleet, 0.9, two_centres(fleet))
            await asyncio.sleep(20.0)
            self.check(fleet, loss=0.03)

        quota_fleet.run(scenario)

    def test_a_hot_tenant_gets_its_quota_and_no_more(self):
        """It sends 7.5 times its usual from two data centres."""

        async def scenario(fleet):
            load_all(fleet, 0.5)
            await asyncio.sleep(5.0)
            load_all(fleet, 0.5 * 7.5, two_centres(fleet))
            await asyncio.sleep(15.0)
            self.check(fleet, loss=0.03)
            await asyncio.sleep(5.0)
            self.check(fleet, loss=0.03, since_s=now_s() - 10.0)

        quota_fleet.run(scenario)

    def test_a_burst_at_one_node_is_admitted_after_a_pause(self):
        """Tokens that other nodes hold are missing where the burst comes."""

        async def scenario(fleet):
            load_all(fleet, 0.1)
            await asyncio.sleep(15.0)
            since_s = now_s()
            for tenant, (_, burst) in fleet.limits.items():
                fleet.burst(tenant, burst, fleet.names[3])
            await asyncio.sleep(3.0)
            self.check(fleet, loss=0.02, since_s=since_s)

        quota_fleet.run(scenario)

    def test_tokens_granted_to_callers_that_have_left_serve_others(self):
        """They would be lost while the owner has them as used."""

        async def scenario(fleet):
            exchange = fleet.exchanges[fleet.names[3]]
            # After the renewal, beside which nothing is asked for 0.1 s.
            await asyncio.sleep(0.15)
            for since_s in (0.005, 0.02):
                tasks = [
                    asyncio.create_task(exchange.take("large"))
                    for _ in range(100)
                ]
                await asyncio.sleep(since_s)
                for task in tasks:
                    task.cancel()
                await asyncio.sleep(0.02)
                served = [exchange._client.take("large") for _ in range(200)]
                # As many again are at most reserved for expected requests.
                self.assertGreater(200 - served.count(None), 100)
                await asyncio.sleep(3.0)

        quota_fleet.run(scenario, delay_s=(0.01, 0.01))

    def test_refused_requests_do_not_come_again_together(self):
        """Callers that wait as told would otherwise come back as a burst."""

        async def scenario(fleet):
            load_all(fleet, 3.0)
            await asyncio.sleep(10.0)
            fleet.retries_s.clear()
            started_s = now_s()
            fleet.burst("large", 1000, fleet.names[3])
            await asyncio.sleep(0.5)
            waits_s = [time_s - started_s for time_s in fleet.retries_s]
            self.assertGreater(len(waits_s), 500)
            self.assertGreater(min(waits_s), 0.2)
            halves = sorted(int(2 * wait_s) for wait_s in waits_s)
            most = max(halves.count(half) for half in set(halves))
            self.assertLess(most, 0.5 * len(halves))

        quota_fleet.run(scenario)

    def test_a_dead_owner_costs_two_seconds_of_its_tenants(self):
        """Its tokens may still be in use until what it was lent has ended."""

        async def scenario(fleet):
            load_all(fleet, 0.8)
            await asyncio.sleep(5.0)
            died_s = now_s()
            for owner in {fleet.owner(tenant) for tenant in fleet.limits}:
                await fleet.die(owner)
            await asyncio.sleep(15.0)
            self.check(fleet)
            for tenant in fleet.limits:
                lost = fleet.loss(tenant, died_s, died_s + 4.0)
                self.assertLess(lost, 0.6, tenant)
                lost = fleet.loss(tenant, died_s + 5.0)
                self.assertLess(lost, 0.05, tenant)

        quota_fleet.run(scenario)

    def test_both_sides_of_a_cut_share_the_quota(self):
        """Each side has an owner that cannot see the other one."""

        async def scenario(fleet):
            load_all(fleet, 2.0)
            await asyncio.sleep(5.0)
            await fleet.cut(fleet.names[0::2])
            await asyncio.sleep(10.0)
            since_s = now_s()
            await asyncio.sleep(10.0)
            self.check(fleet, loss=0.1, since_s=since_s)
            fleet.heal()
            await asyncio.sleep(10.0)
            self.check(fleet, loss=0.03, since_s=now_s() - 5.0)

        quota_fleet.run(scenario)

    def test_a_cut_off_side_whose_nodes_restart_keeps_to_its_part(self):
        """The last node that knew the other side alive has forgotten it."""

        async def scenario(fleet):
            load_all(fleet, 3.0)
            near, far = fleet.names[0::2], fleet.names[1::2]
            await fleet.cut(near)
            fleet.tell(near, near, member_status.MemberStatus.SERVING)
            fleet.has_store = False
            for name in near:
                fleet.start(name)
                await asyncio.sleep(0.5)
            fleet.tell(far, far, member_status.MemberStatus.SERVING)
            await asyncio.sleep(12.0)
            self.check(fleet)

        quota_fleet.run(scenario)

    def test_restarted_nodes_do_not_use_a_quota_twice(self):
        """A node forgets what it used, granted and lent."""

        async def scenario(fleet):
            load_all(fleet, 5.0)
            await asyncio.sleep(5.0)
            for _ in range(3):
                for name in fleet.names[0::3]:
                    fleet.start(name)
                await asyncio.sleep(1.5)
            await asyncio.sleep(10.0)
            self.check(fleet, loss=0.03, since_s=now_s() - 5.0)

        quota_fleet.run(scenario)

    def test_a_lowered_limit_holds_at_once(self):
        """Nodes hold tokens of the limit before."""

        async def scenario(fleet):
            load_all(fleet, 3.0)
            await asyncio.sleep(10.0)
            fleet.limit(
                {
                    t: (rate / 5, burst / 5)
                    for t, (rate, burst) in fleet.limits.items()
                }
            )
            lowered_s = now_s()
            await asyncio.sleep(10.0)
            for tenant in fleet.limits:
                # Runs of before that were still on their way.
                since_s = lowered_s + quota_fleet.QUEUE_S
                self.assertLessEqual(
                    fleet.excess(tenant, since_s=since_s), 1.0, tenant
                )

        quota_fleet.run(scenario)

    def test_a_flood_of_refused_requests_does_not_flood_the_owners(self):
        """Each node has several groups, and may ask 10 times a second each."""
        limits = {f"t{number}": (10, 10) for number in range(40)}

        async def scenario(fleet):
            load_all(fleet, 7.5)
            await asyncio.sleep(2.0)
            before = fleet.messages
            await asyncio.sleep(5.0)
            asks_per_s = (fleet.messages - before) / 2 / 5.0
            most = quota_book.GROUPS * len(fleet.names) / quota_client.MIN_ASK_S
            self.assertLess(asks_per_s, most)
            self.check(fleet)

        quota_fleet.run(scenario, limits=limits)

    def test_limits_that_arrive_at_a_running_fleet_hold_at_once(self):
        """Nodes that have not counted each other would use whole quotas."""

        async def scenario(fleet):
            # Between two ticks of all nodes.
            await asyncio.sleep(0.01)
            fleet.limit(quota_fleet.LIMITS)
            load_all(fleet, 50.0)
            await asyncio.sleep(6.0)
            self.check(fleet)

        quota_fleet.run(scenario, limits={})

    def test_an_outage_of_all_targets_saves_no_tokens(self):
        """Charges that are given back would run on top of the refill."""
        for held_s in (0.02, 0.09, 0.5, 1.4):

            async def scenario(fleet, held_s=held_s):
                fleet.held_s = held_s
                load_all(fleet, 3.0)
                await asyncio.sleep(5.0)
                fleet.is_down = True
                await asyncio.sleep(6.0)
                fleet.is_down = False
                await asyncio.sleep(8.0)
                self.check(fleet)

            quota_fleet.run(scenario)

    def test_the_bound_holds_through_random_troubles(self):
        """Cuts, deaths and restarts at any time, under three times the load."""
        for seed in range(4):

            async def scenario(fleet, seed=seed):
                rng = random.Random(seed)
                load_all(fleet, 3.0)
                cuts = []
                for _ in range(10):
                    await asyncio.sleep(rng.uniform(0.5, 4.0))
                    kind = rng.choice(("cut", "heal", "restart", "die"))
                    some = rng.sample(fleet.names, rng.randint(1, 12))
                    if kind == "cut":
                        cuts.append(asyncio.create_task(fleet.cut(some)))
                    elif kind == "heal":
                        fleet.heal()
                    elif kind == "restart":
                        for name in some[:4]:
                            fleet.start(name)
                    else:
                        await fleet.die(some[0])
                        fleet.start(some[0])
                    self.check(fleet)
                for cut in cuts:
                    cut.cancel()

            quota_fleet.run(scenario)
