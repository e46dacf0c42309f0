"""Tests of writing configuration changes."""

import random
import unittest
import unittest.mock

import anyio

from galenatack import exceptions
from galenatack.config import _operation
from galenatack.config import acceptor
from galenatack.config import entry_codec
from galenatack.config import row_keys
from galenatack.model import move_state
from galenatack.model import row_check
from galenatack.model import transaction
from tests.fakes import event_list
from tests.fakes import memory_objects
from tests.fakes import memory_table
from tests.fakes import sample_profile
from tests.fakes import virtual_clock
from tests.fakes import virtual_run

MOVE = move_state.MoveState(
    "m1", "prices", "v1", "v2", 1000, 2000, "running", 50, 1, 0
)


class AcceptorCase(unittest.TestCase):
    """Acceptors over one table."""

    def setUp(self):
        """Starts with an empty platform."""
        self.table = memory_table.MemoryTable()
        self.objects = memory_objects.MemoryObjects()

    def acceptor(self, seed: int = 1) -> acceptor.Acceptor:
        """Returns an acceptor of one operator."""
        return acceptor.Acceptor(
            table=self.table,
            objects=self.objects,
            clock=virtual_clock.VirtualClock(),
            rng=random.Random(seed),
            events=event_list.EventList(),
        )


class TestPublish(AcceptorCase):
    def test_versions_and_seq_grow(self):
        """Each publish gets the next version and the next seq."""

        async def main():
            writer = self.acceptor()
            first = await writer.publish(sample_profile.body())
            second = await writer.publish(sample_profile.body(timeout_ms=9))
            self.assertEqual((first.version, first.seq), (1, 1))
            self.assertEqual((second.version, second.seq), (2, 2))
            found, _ = await writer.read_entry("profile/prices-normal")
            self.assertEqual(found, second)

        virtual_run.run(main, seed=1)

    def test_stale_expect_is_refused(self):
        """The error for a stale `expect` names the current version."""

        async def main():
            writer = self.acceptor()
            await writer.publish(sample_profile.body(), expect=0)
            with self.assertRaises(exceptions.VersionConflictError) as caught:
                await writer.publish(sample_profile.body(), expect=0)
            self.assertEqual(caught.exception.winning_version, 1)

        virtual_run.run(main, seed=1)

    def test_lost_answer_writes_once(self):
        """A change whose response is lost is not written a second time."""

        async def main():
            self.table.lose_answers = 1
            first = await self.acceptor().publish(
                sample_profile.body(), expect=0
            )
            self.assertEqual((first.version, first.seq), (1, 1))
            rows = await self.table.scan(row_keys.LOG_PREFIX)
            self.assertEqual(len(rows), 1)

        virtual_run.run(main, seed=1)

    def test_lost_answer_then_outage_is_outcome_unknown(self):
        """The outcome is unknown, not refused, if it cannot be read back."""

        async def main():
            writer = self.acceptor()
            self.table.lose_answers = 1
            commit = self.table.commit

            async def commit_and_fail(change):
                try:
                    return await commit(change)
                finally:
                    self.table.down = True

            self.table.commit = commit_and_fail
            with self.assertRaises(exceptions.OutcomeUnknownError):
                await writer.publish(sample_profile.body())

        virtual_run.run(main, seed=1)

    def test_racing_operators(self):
        """Concurrent changes all succeed, except those with a stale expect."""

        async def main():
            results = []

            async def publish(seed: int, name: str):
                try:
                    item = await self.acceptor(seed).publish(
                        sample_profile.body(name), expect=0
                    )
                    results.append(item.seq)
                except exceptions.VersionConflictError as error:
                    results.append(-error.winning_version)

            async with anyio.create_task_group() as tasks:
                for seed in range(8):
                    tasks.start_soon(publish, seed, f"p{seed // 2}")
            self.assertEqual(sorted(results), [-1] * 4 + [1, 2, 3, 4])

        virtual_run.run(main, seed=3)

    def test_running_version_cannot_be_removed(self):
        """A profile must list the version that its service runs."""

        async def main():
            writer = self.acceptor()
            await writer.publish(sample_profile.body())
            await writer.choose("prices", profile="prices-normal", version="v1")
            with self.assertRaises(exceptions.ProfileInvalidError):
                await writer.publish(sample_profile.body(versions=("v2",)))

        virtual_run.run(main, seed=1)

    def test_old_log_rows_are_deleted(self):
        """The number of log and operation rows is limited."""

        async def main():
            writer = self.acceptor()
            for number in range(1, 9):
                await writer.publish(sample_profile.body(timeout_ms=number))
            logs = await self.table.scan(row_keys.LOG_PREFIX)
            operations = await self.table.scan(row_keys.OPERATION_PREFIX)
            self.assertEqual((len(logs), len(operations)), (4, 4))

        with unittest.mock.patch.object(_operation, "LOG_ROWS_KEPT", 4):
            virtual_run.run(main, seed=1)


class TestChoose(AcceptorCase):
    def test_only_known_profiles_and_versions(self):
        """Missing profiles, other services' profiles and unknown versions."""

        async def main():
            writer = self.acceptor()
            await writer.publish(sample_profile.body())
            for service, profile, version in (
                ("prices", "absent", "v1"),
                ("purchases", "prices-normal", "v1"),
                ("prices", "prices-normal", "v9"),
            ):
                with self.assertRaises(exceptions.NotFoundError):
                    await writer.choose(
                        service, profile=profile, version=version
                    )
            item = await writer.choose(
                "prices", profile="prices-normal", version="v2"
            )
            choice = entry_codec.parse_choice(item.body)
            self.assertEqual(choice.version, "v2")

        virtual_run.run(main, seed=1)


class TestWriteMove(AcceptorCase):
    def test_stale_check_fences_the_writer(self):
        """A move is not written if a check of the caller is stale."""

        async def main():
            writer = self.acceptor()
            key = row_keys.entry("move/prices")
            absent = (row_check.RowCheck(key, 0),)
            await writer.write_move(MOVE, checks=absent)
            with self.assertRaises(exceptions.TransactionConflictError):
                await writer.write_move(MOVE, checks=absent)
            found, revision = await writer.read_entry("move/prices")
            self.assertEqual(entry_codec.parse_move(found.body), MOVE)
            await writer.write_move(
                MOVE._replace(phase="done"),
                checks=(row_check.RowCheck(key, revision),),
                extra_puts=(("lease/move/prices", None),),
            )
            self.assertIsNotNone(await self.table.get("lease/move/prices"))

        virtual_run.run(main, seed=1)

    def test_lost_answer_of_a_checked_write(self):
        """After a lost response, the own write is not taken for a conflict."""

        async def main():
            await self.table.commit(
                transaction.Transaction(puts=(("lease/move/prices", 1),))
            )
            lease = await self.table.get("lease/move/prices")
            self.table.lose_answers = 1
            item = await self.acceptor().write_move(
                MOVE,
                checks=(
                    row_check.RowCheck(lease.key, lease.revision),
                    row_check.RowCheck(row_keys.entry("move/prices"), 0),
                ),
                extra_puts=((lease.key, 2),),
            )
            self.assertEqual(item.version, 1)

        virtual_run.run(main, seed=1)
