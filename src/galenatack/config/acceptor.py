"""Writes configuration changes to the platform's log."""

import collections.abc

from galenatack import exceptions
from galenatack.config import _operation
from galenatack.config import canonical_json
from galenatack.config import effective_choice
from galenatack.config import entry_codec
from galenatack.config import entry_rows
from galenatack.config import profile_codec
from galenatack.config import row_keys
from galenatack.interfaces import clock
from galenatack.interfaces import event_sink
from galenatack.interfaces import object_store
from galenatack.interfaces import random_source
from galenatack.interfaces import table
from galenatack.messages import delta
from galenatack.model import entry
from galenatack.model import move_phase
from galenatack.model import move_state
from galenatack.model import profile
from galenatack.model import row
from galenatack.model import row_check
from galenatack.model import service_choice

_PAGE_ROWS = 500
# Writes of content-addressed objects are idempotent and safe to retry.
_PUT_ATTEMPTS = 5

AcceptDelta = collections.abc.Callable[
    [delta.Delta], collections.abc.Awaitable[object]
]


class Acceptor:
    """Validates changes and writes them as conditional transactions.

    Args:
        table: The table service.
        objects: Store of the profile bodies.
        clock: Clock for the delays between attempts.
        rng: Source of operation ids and jitter.
        events: Records accepted changes.
        accept_delta: Called with the delta of each accepted change, which
            lets this node propagate it without waiting for a reader.
    """

    def __init__(
        self,
        *,
        table: table.Table,
        objects: object_store.ObjectStore,
        clock: clock.Clock,
        rng: random_source.RandomSource,
        events: event_sink.EventSink,
        accept_delta: AcceptDelta | None = None,
    ):
        self._table = table
        self._objects = objects
        self._clock = clock
        self._rng = rng
        self._events = events
        self._accept_delta = accept_delta

    async def publish(
        self, body: bytes, *, expect: int | None = None
    ) -> entry.Entry:
        """Accepts a new version of a profile.

        Args:
            body: JSON of the whole profile.
            expect: Version on which the operator's change is based, 0 for a
                new profile; None replaces any version.

        Raises:
            exceptions.ProfileInvalidError: The profile has errors, or lacks
                a version that its service currently runs.
            exceptions.VersionConflictError: `expect` is stale.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: The profile may have been written.
        """
        value = profile_codec.parse(body)
        canonical = profile_codec.dump(value)
        await self._put_object(canonical)

        async def prepare(current: row.Row | None) -> _operation.Prepared:
            _check_expected(value.name, current, expect)
            checks = await self._check_choice(value)
            return _operation.Prepared(canonical, checks)

        return await self._accept(row_keys.PROFILE + value.name, prepare)

    async def choose(
        self, service: str, *, profile: str, version: str
    ) -> entry.Entry:
        """Accepts the profile and target version of a service.

        Raises:
            exceptions.ProfileInvalidError: A name is malformed.
            exceptions.NotFoundError: The profile does not exist, belongs to
                another service, or does not list the version.
            exceptions.MoveActiveError: The service has a running move.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: The choice may have been written.
        """
        choice = service_choice.ServiceChoice(service, profile, version)
        body = entry_codec.dump_choice(choice)
        entry_codec.parse_choice(body)

        async def prepare(current: row.Row | None) -> _operation.Prepared:
            del current
            checks = (
                await self._check_profile(choice),
                await self._check_no_move(service),
            )
            return _operation.Prepared(body, checks)

        return await self._accept(row_keys.SERVICE + service, prepare)

    async def write_move(
        self,
        state: move_state.MoveState,
        *,
        checks: tuple[row_check.RowCheck, ...],
        extra_puts: tuple[tuple[str, object], ...] = (),
    ) -> entry.Entry:
        """Writes a move state under the caller's checks, with extra rows.

        Args:
            state: The new state.
            checks: Conditions, such as the revision of the lease row and of
                `entry/move/<service>`.
            extra_puts: Rows to write in the same transaction.

        Raises:
            exceptions.TransactionConflictError: One of `checks` failed.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: The state may have been written.
        """
        body = entry_codec.dump_move(state)
        entry_codec.parse_move(body)

        async def prepare(current: row.Row | None) -> _operation.Prepared:
            del current
            return _operation.Prepared(body, checks)

        return await self._accept(
            row_keys.MOVE + state.service, prepare, extra_puts=extra_puts
        )

    async def read_entry(self, key: str) -> tuple[entry.Entry, int] | None:
        """Reads an entry and the revision of its row.

        Args:
            key: `profile/<name>`, `service/<name>` or `move/<service>`.

        Raises:
            exceptions.PlatformError: The entry could not be read.
        """
        stored = await self._table.get(row_keys.entry(key))
        if stored is None:
            return None
        return await entry_rows.load(stored, self._objects), stored.revision

    async def list_entries(self, prefix: str) -> tuple[entry.Entry, ...]:
        """Reads all entries whose key starts with `prefix`, in key order.

        Raises:
            exceptions.PlatformError: The entries could not be read.
        """
        result: list[entry.Entry] = []
        after = ""
        while True:
            rows = await self._table.scan(
                row_keys.entry(prefix), after=after, limit=_PAGE_ROWS
            )
            result.extend(await entry_rows.load_all(rows, self._objects))
            if len(rows) < _PAGE_ROWS:
                return tuple(result)
            after = rows[-1].key

    async def _accept(
        self,
        key: str,
        prepare: _operation.Prepare,
        *,
        extra_puts: tuple[tuple[str, object], ...] = (),
    ) -> entry.Entry:
        operation = _operation.Operation(
            table=self._table,
            clock=self._clock,
            rng=self._rng,
            key=key,
            extra_puts=extra_puts,
        )
        item = await operation.run(prepare)
        cause = self._events.record(
            "change-accepted", key=key, seq=item.seq, version=item.version
        )
        if self._accept_delta is not None:
            await self._accept_delta(
                delta.Delta(item.seq - 1, item.seq, (item,), cause)
            )
        return item

    async def _put_object(self, body: bytes) -> None:
        name = canonical_json.digest(body)
        for attempt in range(_PUT_ATTEMPTS):
            try:
                await self._objects.put(name, body)
                return
            except exceptions.OutcomeUnknownError:
                if attempt + 1 == _PUT_ATTEMPTS:
                    raise

    async def _check_choice(
        self, value: profile.Profile
    ) -> tuple[row_check.RowCheck, ...]:
        key = row_keys.entry(row_keys.SERVICE + value.service)
        stored = await self._table.get(key)
        if stored is None:
            return (row_check.RowCheck(key, 0),)
        item = await entry_rows.load(stored, self._objects)
        choice = entry_codec.parse_choice(item.body)
        if choice.profile != value.name:
            return (row_check.RowCheck(key, stored.revision),)
        needed, move_check = await self._versions_in_use(item)
        missing = sorted(needed - set(value.versions))
        if missing:
            raise exceptions.ProfileInvalidError(
                f"$.versions: lacks {', '.join(missing)}, which service"
                f" {value.service!r} runs"
            )
        return (row_check.RowCheck(key, stored.revision), move_check)

    async def _versions_in_use(
        self, choice_entry: entry.Entry
    ) -> tuple[set[str], row_check.RowCheck]:
        """Returns the versions that may receive calls, and a check for them.

        The check fails if the move of the service has changed since.
        """
        service = choice_entry.key.removeprefix(row_keys.SERVICE)
        key = row_keys.entry(row_keys.MOVE + service)
        stored = await self._table.get(key)
        if stored is None:
            choice = entry_codec.parse_choice(choice_entry.body)
            return {choice.version}, row_check.RowCheck(key, 0)
        item = await entry_rows.load(stored, self._objects)
        move = entry_codec.parse_move(item.body)
        choice = effective_choice.effective_choice(choice_entry, item)
        needed = {choice.version}
        if move.phase == move_phase.MovePhase.RUNNING:
            needed |= {move.from_version, move.to_version}
        return needed, row_check.RowCheck(key, stored.revision)

    async def _check_no_move(self, service: str) -> row_check.RowCheck:
        key = row_keys.entry(row_keys.MOVE + service)
        stored = await self._table.get(key)
        if stored is None:
            return row_check.RowCheck(key, 0)
        item = await entry_rows.load(stored, self._objects)
        move = entry_codec.parse_move(item.body)
        if move.phase == move_phase.MovePhase.RUNNING:
            raise exceptions.MoveActiveError(
                f"service {service!r} moves to {move.to_version!r}; cancel"
                " the move or wait for its verdict"
            )
        return row_check.RowCheck(key, stored.revision)

    async def _check_profile(
        self, choice: service_choice.ServiceChoice
    ) -> row_check.RowCheck:
        key = row_keys.entry(row_keys.PROFILE + choice.profile)
        stored = await self._table.get(key)
        if stored is None:
            raise exceptions.NotFoundError(f"no profile {choice.profile!r}")
        item = await entry_rows.load(stored, self._objects)
        value = profile_codec.parse(item.body)
        if value.service != choice.service:
            raise exceptions.NotFoundError(
                f"profile {value.name!r} belongs to service {value.service!r}"
            )
        if choice.version not in value.versions:
            raise exceptions.NotFoundError(
                f"profile {value.name!r} does not know version"
                f" {choice.version!r}"
            )
        return row_check.RowCheck(key, stored.revision)


def _check_expected(
    name: str, current: row.Row | None, expect: int | None
) -> None:
    version = current.value["version"] if current else 0
    if expect is not None and version != expect:
        raise exceptions.VersionConflictError(
            f"profile {name!r} is at version {version}, not {expect}",
            winning_version=version,
        )
