"""Tests of the claim batcher, the cleanup and the registry."""

import unittest

import anyio

from galenatack import exceptions
from galenatack.model import transaction
from galenatack.postings import claim
from galenatack.postings import claim_batcher
from galenatack.postings import claim_cleanup
from galenatack.postings import posting_record
from galenatack.postings import posting_registry
from tests.fakes import event_list
from tests.fakes import manual_clock
from tests.fakes import memory_table
from tests.fakes import virtual_run
from tests.postings import node

DAY_MS = 24 * 3600 * 1000


def _claim(attempt: str, made_ms: int = 0) -> claim.Claim:
    return claim.Claim("n1", 1, attempt, "f", made_ms)


class _CountingTable(memory_table.MemoryTable):
    """Counts commits; fails after `down_after` of them."""

    def __init__(self):
        super().__init__()
        self.commits: list[int] = []
        self.down_after = 0

    async def commit(self, change):
        self.commits.append(len(change.puts) + len(change.deletes))
        try:
            return await super().commit(change)
        finally:
            self.down = self.down or len(self.commits) == self.down_after


class TestClaimBatcher(unittest.TestCase):
    def _insert(self, table, attempts: dict[str, str]) -> dict[str, object]:
        """Inserts claims by row key; returns their results or errors."""
        results = {}

        async def insert(batcher, key, attempt) -> None:
            try:
                results[key] = await batcher.insert(key, _claim(attempt))
            except exceptions.PlatformError as error:
                results[key] = error

        async def main() -> None:
            batcher = claim_batcher.ClaimBatcher(table=table)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(batcher.run)
                async with anyio.create_task_group() as inserts:
                    for key, attempt in attempts.items():
                        inserts.start_soon(insert, batcher, key, attempt)
                tasks.cancel_scope.cancel()

        virtual_run.run(main, seed=1)
        return results

    def test_batches(self):
        """120 claims are written in three transactions of at most 50 rows."""
        table = _CountingTable()
        results = self._insert(table, {f"k{n}": f"a{n}" for n in range(120)})
        self.assertEqual(sorted(table.commits), [20, 50, 50])
        self.assertTrue(all(is_inserted for is_inserted, _ in results.values()))

    def test_one_existing_row(self):
        """An existing row fails only the claim of its key."""
        table = _CountingTable()
        self._insert(table, {"k1": "first"})
        results = self._insert(table, {"k0": "a", "k1": "b", "k2": "c"})
        self.assertEqual(results["k1"], (False, _claim("first")))
        self.assertTrue(results["k0"][0])
        self.assertTrue(results["k2"][0])

    def test_lost_answer(self):
        """A claim with a lost answer is recognised by its attempt."""
        table = _CountingTable()
        table.lose_answers = 1
        results = self._insert(table, {"k1": "a", "k2": "b"})
        self.assertTrue(results["k1"][0] and results["k2"][0])
        self.assertEqual(len(table.commits), 1)

    def test_outage(self):
        """An outage before the write is reported as unavailability."""
        table = _CountingTable()
        table.down = True
        results = self._insert(table, {"k1": "a"})
        self.assertIsInstance(
            results["k1"], exceptions.PlatformUnavailableError
        )

    def test_outage_after_lost_answer(self):
        """An outage before the read-back leaves the outcome unknown."""
        table = _CountingTable()
        table.lose_answers = 1
        table.down_after = 1
        results = self._insert(table, {"k1": "a"})
        self.assertIsInstance(results["k1"], exceptions.OutcomeUnknownError)

    def test_outage_after_lost_insert(self):
        """A lost insert may still take effect, so the outcome is unknown."""
        table = _CountingTable()

        async def refuse(change):
            raise exceptions.PlatformUnavailableError("down")

        async def lose(change):
            table.commit = refuse
            raise exceptions.OutcomeUnknownError("lost")

        table.commit = lose
        results = self._insert(table, {"k1": "a"})
        self.assertIsInstance(results["k1"], exceptions.OutcomeUnknownError)

    def test_hanging_table(self):
        """Batches time out after 2 s when the table hangs."""
        table = _CountingTable()

        async def hang(change):
            await anyio.sleep(3600)

        table.commit = hang
        results = self._insert(table, {f"k{n}": "a" for n in range(600)})
        for error in results.values():
            self.assertIsInstance(error, exceptions.OutcomeUnknownError)

    def test_damaged_row(self):
        """A row with a malformed value still blocks the claim."""
        table = _CountingTable()

        async def damage() -> None:
            await table.commit(transaction.Transaction(puts=(("k1", [1]),)))

        virtual_run.run(damage, seed=1)
        is_inserted, existing = self._insert(table, {"k1": "a"})["k1"]
        self.assertFalse(is_inserted)
        self.assertEqual(existing.attempt, "")


class TestClaimCleanup(unittest.TestCase):
    def _clean(self, ages_ms: list[int], clock_ahead_ms: int = 0) -> int:
        """Returns the number of rows that remain after 12 pages."""
        clock = manual_clock.ManualClock()
        now_ms = clock.wall_ms()
        clock.advance(clock_ahead_ms / 1000)
        table = _CountingTable()

        async def main() -> int:
            for number, age_ms in enumerate(ages_ms):
                row = claim.to_value(_claim("a", now_ms - age_ms))
                key = claim.row_key("purchases", str(number))
                await table.commit(transaction.Transaction(puts=((key, row),)))
            table.commits.clear()
            cleanup = claim_cleanup.ClaimCleanup(
                table=table,
                clock=clock,
                events=event_list.EventList(),
                is_holder=lambda: True,
            )
            for _ in range(12):
                await cleanup.clean_page()
            return len(await table.scan("claim/", limit=1000))

        remaining = virtual_run.run(main, seed=1)
        self.assertLessEqual(max(table.commits, default=0), 50)
        return remaining

    def test_old_rows_are_deleted(self):
        """Rows older than 7 days are deleted, newer ones are kept."""
        ages_ms = [0] * 30 + [6 * DAY_MS] * 20 + [8 * DAY_MS] * 250
        self.assertEqual(self._clean(ages_ms), 50)

    def test_clock_ahead(self):
        """A holder whose clock is a month ahead deletes no recent rows."""
        ages_ms = [0] * 5 + [DAY_MS] * 5
        self.assertEqual(self._clean(ages_ms, 30 * DAY_MS), 10)


class TestPostingRegistry(unittest.TestCase):
    def setUp(self):
        """Creates a new clock for each test."""
        self.clock = manual_clock.ManualClock()

    def _registry(self, **options: int) -> posting_registry.PostingRegistry:
        return posting_registry.PostingRegistry(clock=self.clock, **options)

    def _record(self, key: str, expires_ms: int = 0):
        return posting_record.PostingRecord(
            service="purchases",
            key=key,
            attempt=key,
            fingerprint="f",
            ticket_expires_ms=expires_ms,
        )

    def test_full(self):
        """A full registry refuses new records and drops none."""
        registry = self._registry(max_records=2)
        self.assertTrue(registry.add(self._record("a")))
        self.assertTrue(registry.add(self._record("b")))
        self.assertFalse(registry.add(self._record("c")))
        self.assertIsNotNone(registry.get("purchases", "a"))

    def test_bytes(self):
        """Above the byte limit the record is kept without its answer."""
        registry = self._registry(max_bytes=1400)
        record = self._record("a")
        registry.add(record)
        registry.keep_result(record, node.answer("x" * 900))
        self.assertIsNone(record.result)
        registry.keep_result(record, node.answer("x" * 500))
        self.assertFalse(registry.add(self._record("b")))
        registry.remove(record)
        self.assertEqual(registry.used_bytes, 0)

    def test_ticket_floor(self):
        """A dropped ticket raises the floor, so it stays refused."""
        registry = self._registry()
        expires_ms = self.clock.wall_ms() + 600_000
        record = self._record("a", expires_ms)
        registry.add(record)
        record.shared_result = None
        self.clock.advance(659)
        registry.expire()
        self.assertIsNotNone(registry.get("purchases", "a"))
        self.clock.advance(2)
        registry.expire()
        self.assertIsNone(registry.get("purchases", "a"))
        self.assertEqual(registry.ticket_floor_ms, expires_ms)

    def test_running_is_kept(self):
        """A record whose attempt has not ended is never dropped."""
        registry = self._registry()
        registry.add(self._record("a"))
        self.clock.advance(10_000)
        registry.expire()
        self.assertEqual(len(registry), 1)
