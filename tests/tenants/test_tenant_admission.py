"""Tests of the keys of tenants."""

import unittest

from galenatack import exceptions
from galenatack.model import caller_request
from galenatack.model import host_route
from galenatack.model import tenant
from galenatack.model import tenant_key
from galenatack.tenants import tenant_admission
from galenatack.tenants import tenant_pass
from galenatack.tenants import tenant_table
from galenatack.traffic import request_attempts


def make_tenant(name, *keys, priority=None):
    """Returns a tenant with some keys."""
    digests = tuple(tenant_key.digest(key) for key in keys)
    return tenant.Tenant(name, digests, priority)


def make_request(key=""):
    """Returns a request with a key."""
    return caller_request.CallerRequest(
        "a1", "GET", "h", "/p/", (), b"", 0, credential=key
    )


def make_route(**fields):
    """Returns a route of priority 3."""
    return host_route.HostRoute(
        "r", "h", "/p/", (), True, 1000, 100, 3, 1, **fields
    )


class Outdated:
    """Keys that are too old."""

    def check(self):
        """Raises always."""
        raise exceptions.KeysOutdatedError("old", retry_after_ms=1)


class Quotas:
    """Counts charges, which stay current until told otherwise."""

    def __init__(self):
        self.taken = 0
        self.returned_s = []
        self.current = True

    async def take(self, tenant_name):
        """Charges a request."""
        del tenant_name
        self.taken += 1
        return float(self.taken)

    def is_current(self, until_s):
        """Returns whether the last charge may serve another attempt."""
        return self.current and until_s == self.taken

    def give_back(self, tenant_name, until_s):
        """Takes a charge back."""
        del tenant_name
        self.returned_s.append(until_s)


class TestCharges(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        table = tenant_table.TenantTable([make_tenant("blue", "k1")])
        self.quotas = Quotas()
        self.admission = tenant_admission.TenantAdmission(
            in_force=lambda: table, quotas=self.quotas
        )
        request = make_request("k1")
        self.attempts = request_attempts.RequestAttempts(
            request=request,
            route=make_route(),
            service="s",
            config_version=1,
            deadline_s=1.0,
            sender=self.admission.identify(request, make_route()),
        )

    async def test_an_attempt_with_an_old_charge_is_charged_again(self):
        """The owner has refilled since, so that both would run."""
        await self.admission.admit(self.attempts)
        await self.admission.admit(self.attempts)
        self.assertEqual(self.quotas.taken, 1)
        self.quotas.current = False
        await self.admission.admit(self.attempts)
        self.assertEqual(self.quotas.taken, 2)
        self.admission.settle(self.attempts)
        self.admission.settle(self.attempts)
        self.assertEqual(self.quotas.returned_s, [2.0])

    async def test_an_attempt_without_a_result_keeps_its_charge(self):
        """Its caller may have left while the target runs it."""
        await self.admission.admit(self.attempts)
        self.attempts.is_sent = True
        self.admission.settle(self.attempts)
        self.assertEqual(self.quotas.returned_s, [])
        self.attempts.is_sent = False
        self.admission.settle(self.attempts)
        self.assertEqual(self.quotas.returned_s, [1.0])


class TestTenantAdmission(unittest.TestCase):
    def setUp(self):
        self.table = tenant_table.TenantTable(
            [make_tenant("blue", "k1", "k2"), make_tenant("red", "k3")]
        )
        self.admission = tenant_admission.TenantAdmission(
            in_force=lambda: self.table
        )

    def identify(self, key, **fields):
        return self.admission.identify(make_request(key), make_route(**fields))

    def test_a_request_belongs_to_the_tenant_of_its_key(self):
        """Guards against requests charged to or seen by another tenant."""
        names = [self.identify(key).name for key in ("k1", "k2", "k3")]
        self.assertEqual(names, ["blue", "blue", "red"])

    def test_a_missing_or_unknown_key_is_refused_without_being_named(self):
        """The refusal reaches the caller and the log."""
        for key in ("", "k4", "k1,k1", "K1"):
            with self.assertRaises(exceptions.UnknownKeyError) as caught:
                self.identify(key)
            self.assertNotIn("k4", str(caught.exception))

    def test_an_anonymous_route_needs_no_key(self):
        """Calls of targets carry none, also while the keys are outdated."""
        admission = tenant_admission.TenantAdmission(
            in_force=lambda: self.table, freshness=Outdated()
        )
        for key in ("", "k1", "k4"):
            sender = admission.identify(
                make_request(key), make_route(is_anonymous=True)
            )
            self.assertEqual(sender, tenant_pass.ANONYMOUS)
            admission.check(sender)

    def test_a_deployment_without_tenants_asks_for_no_key(self):
        """Deployments without tenants must behave as before."""
        self.table = None
        self.assertIsNone(self.identify(""))
        self.admission.check(None)
        self.assertFalse(self.admission.has_tenants())

    def test_a_key_that_is_taken_away_stops_a_waiting_request(self):
        """A request may wait at this node while its key is revoked."""
        sender = self.identify("k1")
        self.table = tenant_table.TenantTable([make_tenant("blue", "k2")])
        with self.assertRaises(exceptions.UnknownKeyError):
            self.admission.check(sender)

    def test_a_key_that_moves_to_another_tenant_stops_a_waiting_request(self):
        """It would run in the name of a tenant that has lost the key."""
        sender = self.identify("k1")
        self.table = tenant_table.TenantTable([make_tenant("red", "k1")])
        with self.assertRaises(exceptions.UnknownKeyError):
            self.admission.check(sender)

    def test_a_request_from_before_the_first_tenants_is_not_sent(self):
        """Its headers were not cleared of what callers may not set."""
        with self.assertRaises(exceptions.KeysOutdatedError):
            self.admission.check(None)

    def test_outdated_keys_stop_new_and_waiting_requests(self):
        """A cut-off node does not know which keys were taken away."""
        sender = self.identify("k1")
        admission = tenant_admission.TenantAdmission(
            in_force=lambda: self.table, freshness=Outdated()
        )
        with self.assertRaises(exceptions.KeysOutdatedError):
            admission.identify(make_request("k1"), make_route())
        with self.assertRaises(exceptions.KeysOutdatedError):
            admission.check(sender)
        # An unknown key is refused for good also then.
        with self.assertRaises(exceptions.UnknownKeyError):
            admission.identify(make_request("k4"), make_route())

    def test_the_priority_of_a_tenant_precedes_that_of_the_route(self):
        """Guards against a tenant that is queued like all others."""
        for priority, expected in ((0, 0), (7, 7), (None, 3)):
            sender = tenant_pass.TenantPass(
                make_tenant("blue", priority=priority)
            )
            route = tenant_pass.route_for(sender, make_route())
            self.assertEqual(route.priority, expected)
        self.assertEqual(tenant_pass.route_for(None, make_route()).priority, 3)
