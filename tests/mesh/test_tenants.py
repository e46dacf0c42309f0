"""Tests of tenants' requests through complete nodes."""

import asyncio
import json
import unittest

from galenatack.settings import fleet_bounds
from standins.mesh import operator_config
from tests.mesh import small_fleet

KEY = (b"x-credential", b"key-of-blue")
STRICT = fleet_bounds.FleetBounds(revoke_ms=3000, is_revoking_strict=True)
FORGED = (b"x-tenant", b"forged")


def config(version, *, keys=("key-of-blue",), priority=5, rate_per_s=0):
    """Returns a configuration in which only `b.example` needs keys."""
    document = json.loads(
        operator_config.config(
            version,
            ("a", "b"),
            tenants=(("blue", list(keys), rate_per_s, 0),),
        )
    )
    table = document["tenants"]
    table["columns"].append("priority")
    table["rows"][0].append(priority)
    columns, rows = document["routes"].values()
    columns.append("anonymous")
    for values in rows:
        values.append(values[1] == "a.example")
    return json.dumps(document).encode()


async def apply(fleet, version, **fields):
    """Writes a configuration and waits until all nodes run it."""
    fleet.store.operator_writes("op", "config", config(version, **fields))
    await fleet.until(
        lambda: all(m.parts.config.version == version for m in fleet.members)
    )


def run(scenario, *services, bounds=small_fleet.DEFAULT_BOUNDS):
    """Runs a scenario on a fleet with one member for each service."""

    async def main():
        async with small_fleet.SmallFleet(*services, bounds=bounds) as fleet:
            await apply(fleet, 3)
            await scenario(fleet)

    asyncio.run(main())


class TestTenants(unittest.TestCase):
    def test_a_key_opens_the_way_and_goes_no_further_than_its_node(self):
        """The target learns the tenant's name, and nobody the key."""

        async def scenario(fleet):
            near, far = fleet.members
            frames = []
            link_post = far.parts.gate.handle

            async def handle(call):
                frames.append(call)
                return await link_post(call)

            far.parts.gate.handle = handle
            path = "/idempotent/x"
            answer = await fleet.call(
                near, "b.example", path, headers=(KEY, FORGED)
            )
            self.assertEqual(answer.status, 200)
            seen = far.target.seen
            self.assertEqual(seen["x-tenant"], "blue")
            self.assertNotIn("x-credential", seen)
            (call,) = frames
            self.assertEqual((call.tenant, call.priority), ("blue", 5))
            self.assertNotIn("key-of-blue", repr(call))
            for headers in ((), ((b"x-credential", b"other"),)):
                answer = await fleet.call(
                    near, "b.example", path, headers=headers
                )
                self.assertEqual(answer.status, 401)
                self.assertNotIn(b"retry-after", dict(answer.headers))
            self.assertEqual(len(far.target.ran), 1)

        run(scenario, "a", "b")

    def test_an_anonymous_route_runs_without_a_key_and_without_a_tenant(self):
        """Calls of targets carry no key."""

        async def scenario(fleet):
            answer = await fleet.call(
                fleet.members[1],
                "a.example",
                "/idempotent/x",
                headers=(KEY, FORGED),
            )
            self.assertEqual(answer.status, 200)
            seen = fleet.members[0].target.seen
            self.assertFalse({"x-tenant", "x-credential"} & seen.keys())

        run(scenario, "a", "b")

    def test_a_route_of_a_newer_release_is_not_shown_without_a_key(self):
        """Its refusal names the parts of the route that are unknown."""

        async def scenario(fleet):
            document = json.loads(config(4))
            columns, rows = document["routes"].values()
            columns.append("redirect")
            for values in rows:
                values.append("elsewhere")
                values[columns.index("service")] = None
            value = json.dumps(document).encode()
            fleet.store.operator_writes("op", "config", value)
            near = fleet.members[0]
            await fleet.until(lambda: near.parts.config.version == 4)
            for headers, expected in (((), 401), ((KEY,), 503)):
                answer = await fleet.call(
                    near, "b.example", "/idempotent/x", headers=headers
                )
                self.assertEqual(answer.status, expected)

        run(scenario, "a", "b")

    def test_keys_come_and_go_with_the_configuration(self):
        """Guards against nodes that keep an index of former keys."""

        async def scenario(fleet):
            async def status(key):
                header = (b"x-credential", key)
                answer = await fleet.call(
                    fleet.members[0],
                    "b.example",
                    "/idempotent/x",
                    headers=(header,),
                )
                return answer.status

            await apply(fleet, 4, keys=("key-2",))
            self.assertEqual(await status(KEY[1]), 401)
            self.assertEqual(await status(b"key-2"), 200)

        run(scenario, "a", "b")

    def test_strict_nodes_without_the_store_refuse_keys_and_nothing_else(self):
        """They cannot know that the operator has taken a key away."""

        async def scenario(fleet):
            async def status(host, headers=()):
                answer = await fleet.call(
                    fleet.members[0], host, "/idempotent/x", headers=headers
                )
                return answer.status, b"retry-after" in dict(answer.headers)

            async def serves(host):
                async with asyncio.timeout(5.0):
                    while await status(host, (KEY,)) != (200, False):
                        await asyncio.sleep(0.05)

            await serves("b.example")
            fleet.store.faults.refused_nodes = {"n0", "n1", "n2"}
            self.assertEqual(await status("b.example", (KEY,)), (200, False))
            # 0.9 of the limit; keys must be refused before it has passed.
            await asyncio.sleep(STRICT.revoke_ms * 0.9 / 1000)
            self.assertEqual(await status("b.example", (KEY,)), (503, True))
            self.assertEqual(await status("b.example"), (401, False))
            self.assertEqual(await status("a.example"), (200, False))
            # One node's way is enough for all.
            fleet.store.faults.refused_nodes = {"n0", "n1"}
            await serves("b.example")

        run(scenario, "a", "b", "a", bounds=STRICT)

    def test_requests_beyond_a_quota_are_refused_on_all_nodes_together(self):
        """Each node alone would admit the whole quota."""

        async def scenario(fleet):
            await apply(fleet, 4, rate_per_s=10)
            # A node lends its share once it has run for some seconds.
            await asyncio.sleep(4.0)
            answers = []

            async def send(member):
                for _ in range(40):
                    answers.append(
                        await fleet.call(
                            member, "b.example", "/idempotent/x", headers=(KEY,)
                        )
                    )

            await asyncio.gather(*map(send, fleet.members))
            refused = [a for a in answers if a.status == 429]
            ran = [a for a in answers if a.status == 200]
            self.assertEqual(len(ran) + len(refused), 120)
            self.assertEqual(len(ran), len(fleet.members[1].target.ran))
            self.assertGreater(len(ran), 5)
            self.assertLess(len(ran), 10 * 5 * 1.1 + 20)
            for answer in refused:
                wait_s = float(dict(answer.headers)[b"retry-after"])
                self.assertGreater(wait_s, 0.2)

        run(scenario, "a", "b", "a")
