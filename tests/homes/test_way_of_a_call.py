"""Tests of homes and evacuations on the way of a call, without a network."""

import asyncio
import random
import unittest
from unittest import mock

from galenatack import exceptions
from galenatack.estimates import call_estimates
from galenatack.homes import evacuations
from galenatack.homes import permitted_targets
from galenatack.membership import member_table
from galenatack.messages import call_answer
from galenatack.model import caller_request
from galenatack.model import gate_report
from galenatack.model import tenant
from galenatack.model import tenant_key
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from galenatack.routing import local_replies
from galenatack.tenants import tenant_admission
from galenatack.tenants import tenant_table
from galenatack.traffic import call_router
from galenatack.traffic import request_attempts
from galenatack.traffic import returned_requests
from galenatack.traffic import target_directory
from tests.fakes import manual_clock
from tests.fakes import virtual_loop
from tests.placement import fleet_load

KEY = "k1"
OWN = fleet_load.member("own", region="north")._replace(service="caller")
REQUEST = caller_request.CallerRequest("r", "PUT", "h", "/", (), b"body", 0)


def targets(region, count):
    """Returns the records of targets in one data centre of a region."""
    return [
        fleet_load.member(f"{region}{n}", region=region, data_centre=region)
        for n in range(count)
    ]


def tenants_at(home_regions):
    """Returns one tenant with `KEY` and these homes."""
    digests = (tenant_key.digest(KEY),)
    return tenant_table.TenantTable(
        [tenant.Tenant("blue", digests, home_regions=home_regions)]
    )


def config_with(**route_fields):
    """Returns a configuration whose only route has these fields."""
    route = fleet_load.route()._replace(**route_fields)
    limits = mock.Mock(max_body_bytes=1000)
    return mock.Mock(table=mock.Mock(find=lambda *_: route, limits=limits))


class Way:
    """A node in `north` that routes calls to targets that refuse them."""

    def __init__(self, *records, refusal, tenants=None, **route_fields):
        clock = manual_clock.ManualClock()
        members = member_table.MemberTable(own=OWN, clock=clock)
        members.merge(records)
        conditions = known_conditions.KnownConditions()
        self.evacuations = evacuations.Evacuations(clock=clock)
        self.refusal = refusal
        self.report = None
        self.sent = []
        self.router = call_router.CallRouter(
            config=config_with(**{"home_regions": ("south",)} | route_fields),
            targets=permitted_targets.PermittedTargets(
                directory=target_directory.TargetDirectory(members=members),
                evacuations=self.evacuations,
            ),
            tenants=tenant_admission.TenantAdmission(in_force=lambda: tenants),
            estimates=call_estimates.CallEstimates(is_enabled=False),
            returned=returned_requests.ReturnedRequests(
                clock=virtual_loop.LoopClock()
            ),
            versions=mock.Mock(
                choose=lambda _, by_version, **__: (
                    [r for group in by_version.values() for r in group],
                )
            ),
            placement=target_placement.TargetPlacement(
                own=OWN,
                clock=clock,
                rng=random.Random(1),
                is_connected=lambda _: True,
                conditions=conditions,
            ),
            budget=mock.Mock(),
            runs=mock.Mock(retry_share=0.0),
            sender=mock.Mock(send=self._send),
            conditions=conditions,
            quarantine=mock.Mock(admit=mock.AsyncMock(return_value=False)),
            shutdown=mock.Mock(left_s=lambda deadline_s: deadline_s),
            clock=clock,
            telemetry=mock.Mock(),
        )

    async def _send(self, call, member, deadline_s):
        del call, deadline_s
        self.sent.append(member)
        result = local_replies.not_run(self.refusal(member))
        return call_answer.CallAnswer("c", result, self.report)

    def call(self, *, key=""):
        """Returns the result of one request."""
        request = REQUEST._replace(credential=key)
        return asyncio.run(self.router.handle(request))


def leaving(_):
    """Refuses each call."""
    return exceptions.LeavingError("leaving")


class TestWayOfACall(unittest.TestCase):
    def test_a_refused_call_is_never_sent_away_from_home(self):
        """A body in a forbidden region cannot be taken back."""
        way = Way(*targets("south", 2), *targets("north", 2), refusal=leaving)
        result = way.call()
        self.assertEqual({m.region for m in way.sent}, {"south"})
        self.assertEqual(len(way.sent), 2)
        self.assertEqual((result.status, result.outcome), (503, "not-run"))

    def test_requests_of_a_tenant_keep_to_its_homes_and_those_of_the_route(
        self,
    ):
        """The key names the tenant; an anonymous route does not look at it."""
        records = [*targets("north", 1), *targets("south", 1)]
        records += targets("east", 1)
        anywhere = {"north", "south", "east"}
        for of_route, of_tenant, is_anonymous, expected in (
            ((), ("south",), False, {"south"}),
            (("south", "north"), ("south", "east"), False, {"south"}),
            (("north",), ("south",), False, set()),
            ((), ("south",), True, anywhere),
            (("north",), ("south",), True, {"north"}),
            ((), (), False, anywhere),
        ):
            with self.subTest(route=of_route, tenant=of_tenant):
                way = Way(
                    *records,
                    refusal=leaving,
                    tenants=tenants_at(of_tenant),
                    home_regions=of_route,
                    is_anonymous=is_anonymous,
                )
                result = way.call(key=KEY)
                self.assertEqual({m.region for m in way.sent}, expected)
                self.assertEqual(
                    (result.status, result.outcome), (503, "not-run")
                )
                if not expected:
                    self.assertEqual(
                        result.retry_after_ms,
                        permitted_targets.DISJOINT_HOMES_RETRY_AFTER_MS,
                    )

    def test_without_a_target_at_home_nothing_is_sent(self):
        """The refusal has a retry time."""
        way = Way(*targets("north", 2), refusal=leaving)
        result = way.call()
        self.assertEqual(way.sent, [])
        self.assertEqual((result.status, result.outcome), (503, "not-run"))
        self.assertGreater(result.retry_after_ms, 0)

    def test_a_call_leaves_a_data_centre_after_one_evacuated_gate(self):
        """Its other gates would use up the number of refusals."""

        def refusal(member):
            return (
                exceptions.EvacuatedError("evacuated")
                if member.region == "north"
                else exceptions.LeavingError("leaving")
            )

        way = Way(
            *targets("north", 6),
            *targets("south", 1),
            home_regions=(),
            refusal=refusal,
        )
        way.call()
        self.assertEqual([m.region for m in way.sent], ["north", "south"])

    def test_if_all_is_evacuated_nothing_is_sent(self):
        """An attempt is better than a refusal only without an evacuation."""
        way = Way(*targets("south", 2), refusal=leaving)
        way.evacuations.begin("south", 5)
        result = way.call()
        self.assertEqual((way.sent, result.status), ([], 503))
        self.assertIn("evacuated south", local_replies.detail(result))

    def test_cold_targets_do_not_use_up_the_refusals(self):
        """A node learns of each of them when a data centre has started."""

        def refusal(_):
            return exceptions.OverloadedError("cold", retry_after_ms=200)

        way = Way(*targets("south", 20), refusal=refusal)
        way.report = gate_report.GateReport(0, 0, 0, 0, 0, cold_rate_per_s=5.0)
        way.call()
        most = call_router.MAX_REFUSALS + request_attempts.MAX_EXCUSED_REFUSALS
        self.assertEqual(len(way.sent), most)

    def test_a_request_is_settled_when_its_caller_leaves(self):
        """Its charge would be lost; a sent attempt without a result may run."""

        async def leave(way):
            settled = way.router._tenants.settle = mock.Mock()
            task = asyncio.create_task(way.router.handle(REQUEST))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])
            return settled.call_args.args[0].is_sent

        async def wait(*args, **kwargs):
            await asyncio.sleep(100.0)

        way = Way(*targets("south", 1), refusal=leaving)
        way.router._sender.send = wait
        self.assertTrue(asyncio.run(leave(way)))
        way.router._quarantine.admit = wait
        self.assertFalse(asyncio.run(leave(way)))
