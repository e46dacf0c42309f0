"""The composition root: wires a node to the real dependencies."""

import random
import secrets

from galenatack.app import external_dependencies
from galenatack.app import parts
from galenatack.app import system_clock
from galenatack.app import wiring
from galenatack.links import platform_client
from galenatack.links import platform_objects
from galenatack.links import platform_table
from galenatack.links import target_link
from galenatack.settings import node_settings

SEED_BITS = 64


def compose(settings: node_settings.NodeSettings) -> parts.Parts:
    """Makes and wires all parts of a node.

    Raises:
        exceptions.SettingsError: A certificate file cannot be used.
    """
    client = platform_client.PlatformClient(base_url=settings.platform_url)
    return wiring.wire(
        settings,
        external_dependencies.ExternalDependencies(
            clock=system_clock.SystemClock(),
            rng=random.Random(secrets.randbits(SEED_BITS)),
            secret_rng=random.SystemRandom(),
            table=platform_table.PlatformTable(client=client),
            objects=platform_objects.PlatformObjects(client=client),
            platform=client,
            target=target_link.HttpTargetLink(base_url=settings.target_url),
        ),
    )
