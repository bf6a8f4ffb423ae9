"""The platform object that lists nodes through which others can join."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import msgspec

from corianderwall.model.endpoint import Address, Host, Locality
from corianderwall.model.errors import CorianderwallError, ErrorCode

if TYPE_CHECKING:
    from random import Random

    from corianderwall.store.api import ObjectApi, StoredObject

SEEDS_KEY = "seeds"
MAX_SEEDS = 16
MIN_LIVE_FRACTION = 0.5
"""The list is replaced when the number of its live nodes is below this fraction of a full list."""


class SeedRecord(msgspec.Struct, frozen=True):
    """One node through which others can join."""

    name: str
    host: str
    port: int


class SeedList(msgspec.Struct, frozen=True):
    """The value of the platform object."""

    seeds: tuple[SeedRecord, ...] = ()


def make_seed_host(name: str, address: Address) -> Host:
    """Return a host of which only the name and the peer address are known."""
    unknown = Locality(region="", zone="")
    return Host(name=name, locality=unknown, peer_address=address, call_address=address)


class SeedRegistry:
    """Reads the list of seeds and keeps enough live nodes in it."""

    def __init__(self, api: "ObjectApi", random: "Random", own_host: Host) -> None:
        self._api = api
        self._random = random
        self._own_host = own_host

    async def read(self) -> tuple[Host, ...]:
        """Return the listed nodes, without this one."""
        seeds = _decode(await self._api.read(SEEDS_KEY)).seeds
        return tuple(_make_host(seed) for seed in seeds if seed.name != self._own_host.name)

    async def register_if_first(self) -> bool:
        """List this node as the first one; return False if another node is listed already."""
        stored = await self._api.read(SEEDS_KEY)
        seeds = _decode(stored).seeds
        if not seeds:
            return await self._write_hosts(stored, [self._own_host])
        return all(seed.name == self._own_host.name for seed in seeds)

    async def refresh(self, list_live: Callable[[], Iterable[Host]]) -> tuple[Host, ...]:
        """Replace the list if too few of its nodes are live; return those that aren't."""
        stored = await self._api.read(SEEDS_KEY)
        seeds = _decode(stored).seeds
        live = {host.name: host for host in list_live()}
        wanted = min(MAX_SEEDS, len(live))
        alive = sum(seed.name in live for seed in seeds)
        if alive < wanted * MIN_LIVE_FRACTION:
            await self._write_hosts(stored, self._random.sample(sort_hosts(live), wanted))
        return tuple(_make_host(seed) for seed in seeds if seed.name not in live)

    async def _write_hosts(self, stored: "StoredObject | None", hosts: Iterable[Host]) -> bool:
        records = tuple(
            SeedRecord(host.name, host.peer_address.host, host.peer_address.port) for host in hosts
        )
        revision = 0 if stored is None else stored.revision
        value = msgspec.json.encode(SeedList(records))
        try:
            await self._api.write_if(SEEDS_KEY, value, expected_revision=revision)
        except CorianderwallError as error:
            if error.code is not ErrorCode.CONFLICT:
                raise
            return False
        return True


def sort_hosts(hosts: dict[str, Host]) -> list[Host]:
    """Return the hosts sorted by name, so that a seeded random choice is repeatable."""
    return [hosts[name] for name in sorted(hosts)]


def _make_host(seed: SeedRecord) -> Host:
    return make_seed_host(seed.name, Address(host=seed.host, port=seed.port))


def _decode(stored: "StoredObject | None") -> SeedList:
    if stored is None:
        return SeedList()
    try:
        return msgspec.json.decode(stored.value, type=SeedList)
    except (msgspec.DecodeError, UnicodeDecodeError):
        # A damaged list is replaced by the next refresh.
        return SeedList()
