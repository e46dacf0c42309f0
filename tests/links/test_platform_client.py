"""Tests of the platform client against the stand-in, over loopback."""

import asyncio
import collections.abc
import random
import socket
import subprocess
import sys
import unittest

import httpx

from galenatack import exceptions
from galenatack.config import acceptor
from galenatack.links import platform_client
from galenatack.links import platform_objects
from galenatack.links import platform_table
from galenatack.model import row
from galenatack.model import row_check
from galenatack.model import transaction
from standins.platform import app
from standins.platform import server
from tests.fakes import event_list
from tests.fakes import sample_profile
from tests.fakes import virtual_clock

TIMEOUT_S = 0.3


def with_platform(
    main: collections.abc.Callable, *, writes_per_s: int = 400
) -> None:
    """Runs `main(client, base_url)` with a running stand-in."""

    async def run() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        base_url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        stop = asyncio.Event()
        serving = asyncio.create_task(
            server.serve(
                f"fd://{listener.detach()}",
                application=app.PlatformApp(writes_per_s=writes_per_s),
                shutdown_trigger=stop.wait,
            )
        )
        client = platform_client.PlatformClient(
            base_url=base_url, timeout_s=TIMEOUT_S
        )
        try:
            await main(client, base_url)
        finally:
            await client.close()
            stop.set()
            await serving

    asyncio.run(run())


async def set_faults(base_url: str, **faults: object) -> None:
    """Sets the injected faults of the stand-in."""
    async with httpx.AsyncClient(trust_env=False) as client:
        response = await client.post(f"{base_url}/_faults", json=faults)
        response.raise_for_status()


class TestPlatformTable(unittest.TestCase):
    def test_rows_and_conflicts(self):
        """Rows are read, scanned in order and protected by revision checks."""

        async def main(client, base_url):
            table = platform_table.PlatformTable(client=client)
            puts = tuple((f"log/{number} ü%/", number) for number in range(3))
            revision = await table.commit(
                transaction.Transaction(
                    checks=(row_check.RowCheck("log/0 ü%/", 0),), puts=puts
                )
            )
            self.assertEqual(
                await table.get("log/1 ü%/"),
                row.Row("log/1 ü%/", 1, revision),
            )
            self.assertIsNone(await table.get("absent"))
            rows = await table.scan("log/", after="log/0 ü%/", limit=1)
            self.assertEqual([each.value for each in rows], [1])
            with self.assertRaises(
                exceptions.TransactionConflictError
            ) as caught:
                await table.commit(
                    transaction.Transaction(
                        checks=(row_check.RowCheck("log/0 ü%/", 0),),
                        deletes=("log/1 ü%/",),
                    )
                )
            self.assertEqual(caught.exception.keys, ("log/0 ü%/",))
            self.assertIsNotNone(await table.get("log/1 ü%/"))

        with_platform(main)

    def test_outage_and_slowness(self):
        """A refused write has no effect; a slow one has an unknown outcome."""

        async def main(client, base_url):
            table = platform_table.PlatformTable(client=client)
            change = transaction.Transaction(puts=(("a", 1),))
            await set_faults(base_url, down=True)
            with self.assertRaises(
                exceptions.PlatformUnavailableError
            ) as caught:
                await table.commit(change)
            self.assertEqual(caught.exception.retry_after_ms, 1000)
            await set_faults(base_url, down=False)
            self.assertIsNone(await table.get("a"))
            await set_faults(base_url, slow_ms=450)
            with self.assertRaises(exceptions.OutcomeUnknownError):
                await table.commit(change)
            with self.assertRaises(exceptions.PlatformUnavailableError):
                await table.get("a")

        with_platform(main)

    def test_lost_answer(self):
        """A write with a lost answer takes effect; its outcome is unknown."""

        async def main(client, base_url):
            table = platform_table.PlatformTable(client=client)
            await set_faults(base_url, lose_answers=1)
            with self.assertRaises(exceptions.OutcomeUnknownError):
                await table.commit(transaction.Transaction(puts=(("a", 1),)))
            self.assertEqual((await table.get("a")).value, 1)

        with_platform(main)

    def test_rate_limit(self):
        """A transaction above the rate limit is refused completely."""

        async def main(client, base_url):
            table = platform_table.PlatformTable(client=client)
            puts = tuple((f"k{number}", 1) for number in range(11))
            with self.assertRaises(exceptions.PlatformUnavailableError):
                await table.commit(transaction.Transaction(puts=puts))
            await table.commit(transaction.Transaction(puts=puts[:9]))

        with_platform(main, writes_per_s=10)

    def test_no_listener(self):
        """A refused connection means that nothing was written."""

        async def main() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                port = listener.getsockname()[1]
            client = platform_client.PlatformClient(
                base_url=f"http://127.0.0.1:{port}"
            )
            table = platform_table.PlatformTable(client=client)
            with self.assertRaises(exceptions.PlatformUnavailableError):
                await table.commit(transaction.Transaction(puts=(("a", 1),)))
            await client.close()

        asyncio.run(main())


class TestPlatformObjects(unittest.TestCase):
    def test_bytes_round_trip(self):
        """Any bytes are read back as written; absent objects are None."""

        async def main(client, base_url):
            objects = platform_objects.PlatformObjects(client=client)
            await objects.put("ab12", b"\x00\xff{")
            self.assertEqual(await objects.get("ab12"), b"\x00\xff{")
            self.assertIsNone(await objects.get("cd34"))

        with_platform(main)


class TestAcceptor(unittest.TestCase):
    def test_lost_answers_over_http(self):
        """A publish with lost answers writes only one log row."""

        async def main(client, base_url):
            table = platform_table.PlatformTable(client=client)
            writer = acceptor.Acceptor(
                table=table,
                objects=platform_objects.PlatformObjects(client=client),
                clock=virtual_clock.VirtualClock(),
                rng=random.Random(1),
                events=event_list.EventList(),
            )
            # The answers to the object write and the transaction are lost.
            await set_faults(base_url, lose_answers=2)
            published = await writer.publish(sample_profile.body(), expect=0)
            self.assertEqual((published.seq, published.version), (1, 1))
            self.assertEqual(len(await table.scan("log/")), 1)
            entry, _ = await writer.read_entry(published.key)
            self.assertEqual(entry, published)

        with_platform(main)


class TestImport(unittest.TestCase):
    def test_http_library_is_lazy(self):
        """A node that does not use the platform does not import httpx."""
        code = (
            "import sys\n"
            "from galenatack.links import platform_objects, platform_table\n"
            "from galenatack.links import platform_client\n"
            "platform_client.PlatformClient(base_url='http://h')\n"
            "sys.exit('httpx' in sys.modules)\n"
        )
        done = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(done.returncode, 0)
