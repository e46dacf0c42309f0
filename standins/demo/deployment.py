"""Reads the example deployments of `examples/`."""

import pathlib
import typing

import yaml


class Service(typing.NamedTuple):
    """A service of the deployment.

    Attributes:
        name: Name of the service.
        slots: Number of concurrent calls of each target.
        versions: Target versions; the first one is chosen at the start.
        profile_file: File of its profile.
        profile_name: Name of its profile.
        read_path: Path of a read route.
        posting_path: Path of a posting route; empty without one.
    """

    name: str
    slots: int
    versions: tuple[str, ...]
    profile_file: pathlib.Path
    profile_name: str
    read_path: str
    posting_path: str


class Deployment(typing.NamedTuple):
    """A deployment.

    Attributes:
        name: Name of the deployment.
        regions: Region of each data centre, in order.
        services: The services.
        region_delay_ms: One-way delay between regions.
        good_move: Service that moves to a good version.
        bad_move: Service that moves to a bad version.
    """

    name: str
    regions: dict[str, str]
    services: tuple[Service, ...]
    region_delay_ms: int
    good_move: str
    bad_move: str


def load(name: str) -> Deployment:
    """Reads `examples/<name>/deployment.yaml`."""
    folder = pathlib.Path("examples") / name
    text = (folder / "deployment.yaml").read_text(encoding="utf-8")
    raw = yaml.safe_load(text)
    regions = {
        data_centre: region["name"]
        for region in raw["regions"]
        for data_centre in region["data_centres"]
    }
    services = tuple(_service(folder, item) for item in raw["services"])
    return Deployment(
        name=raw["deployment"],
        regions=regions,
        services=services,
        region_delay_ms=raw["region_delay_ms"],
        good_move=raw["moves"]["good"],
        bad_move=raw["moves"]["bad"],
    )


def _service(folder: pathlib.Path, raw: dict) -> Service:
    return Service(
        name=raw["name"],
        slots=raw["slots"],
        versions=tuple(raw["versions"]),
        profile_file=folder / raw["profile"],
        profile_name=raw["profile_name"],
        read_path=raw["read_path"],
        posting_path=raw["posting_path"],
    )
