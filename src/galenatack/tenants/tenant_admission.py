"""Decides whether the sender of a request may have it run."""

import collections.abc
import typing

from galenatack import exceptions
from galenatack.model import caller_request
from galenatack.model import host_route
from galenatack.quotas import quota_exchange
from galenatack.tenants import tenant_pass
from galenatack.tenants import tenant_table
from galenatack.traffic import request_attempts

NEW_KEYS_RETRY_AFTER_MS = 200
"""Delay for a request that came before keys were needed; it is sent again with
its headers as they are now treated."""

InForce = collections.abc.Callable[[], tenant_table.TenantTable | None]


class Freshness(typing.Protocol):
    """Tells whether the keys on this node are current enough."""

    def check(self) -> None:
        """Raises `exceptions.KeysOutdatedError` if they are not."""


class TenantAdmission:
    """Finds the tenants of requests and checks them again before a dispatch.

    Args:
        in_force: Returns the tenants of the configuration in force; None if
            it has none, or before the first one.
        freshness: Checks the age of the keys; None if a node without a way to
            the store may go on with the keys that it has.
        quotas: Quotas of the tenants; None without limits.
        expects_keys: True if the deployment has a time limit for revoking
            keys, so that callers may send some before the first configuration
            with tenants.
    """

    def __init__(
        self,
        *,
        in_force: InForce,
        freshness: Freshness | None = None,
        quotas: quota_exchange.QuotaExchange | None = None,
        expects_keys: bool = False,
    ):
        self._in_force = in_force
        self._freshness = freshness
        self._quotas = quotas
        self._expects_keys = expects_keys

    def has_tenants(self) -> bool:
        """Returns whether callers may send keys, which go no further."""
        return self._expects_keys or self._in_force() is not None

    def identify(
        self,
        request: caller_request.CallerRequest,
        route: host_route.HostRoute,
    ) -> tenant_pass.TenantPass | None:
        """Returns the sender of a request; None if there are no tenants.

        Raises:
            exceptions.UnknownKeyError: The key is missing or unknown.
            exceptions.KeysOutdatedError: The key may have been taken away.
        """
        table = self._in_force()
        if table is None:
            return None
        if route.is_anonymous:
            return tenant_pass.ANONYMOUS
        tenant, digest = table.find_key(request.credential)
        if tenant is None:
            raise exceptions.UnknownKeyError("a key of a tenant is needed")
        if self._freshness is not None:
            self._freshness.check()
        return tenant_pass.TenantPass(tenant, digest)

    async def admit(self, attempts: request_attempts.RequestAttempts) -> None:
        """Charges the next attempt of a request, and checks its key again.

        An attempt after one that did not run is charged again if the charge is
        old: the quota has been refilled since. The request may wait here; the
        next attempt must be sent before anything else happens.

        Raises:
            exceptions.QuotaExceededError: The tenant's quota is used up.
            exceptions.UnknownKeyError: The key was taken away meanwhile.
            exceptions.KeysOutdatedError: It may have been taken away, or the
                request came before keys were needed.
        """
        if self._quotas is not None:
            await self._charge(self._quotas, attempts)
        self.check(attempts.sender)

    def settle(self, attempts: request_attempts.RequestAttempts) -> None:
        """Gives back the charge for an attempt that did not run.

        Called when the last attempt has ended, or the caller has left. An
        attempt without a result may run.
        """
        is_unused = attempts.charges > attempts.runs and not attempts.is_sent
        if self._quotas is not None and is_unused:
            attempts.charges = attempts.runs
            self._quotas.give_back(attempts.tenant, attempts.charged_until_s)

    async def _charge(
        self,
        quotas: quota_exchange.QuotaExchange,
        attempts: request_attempts.RequestAttempts,
    ) -> None:
        is_charged = attempts.charges > attempts.runs
        if is_charged and quotas.is_current(attempts.charged_until_s):
            return
        attempts.charged_until_s = await quotas.take(attempts.tenant)
        attempts.charges = attempts.runs + 1

    def check(self, known: tenant_pass.TenantPass | None) -> None:
        """Checks an admitted request again, before it is sent to a target.

        Raises:
            exceptions.UnknownKeyError: The key was taken away meanwhile.
            exceptions.KeysOutdatedError: It may have been taken away, or the
                request came before keys were needed.
        """
        table = self._in_force()
        if table is None:
            return
        if known is None:
            raise exceptions.KeysOutdatedError(
                "tenants were introduced while the request waited",
                retry_after_ms=NEW_KEYS_RETRY_AFTER_MS,
            )
        if known.tenant is None:
            return
        tenant = table.find(known.key_digest)
        if tenant is None or tenant.name != known.name:
            raise exceptions.UnknownKeyError("the key was taken away")
        if self._freshness is not None:
            self._freshness.check()
