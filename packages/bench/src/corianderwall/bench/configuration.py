"""A configuration of the stated size, and changes of it, for measurements."""

import random
from dataclasses import replace

from corianderwall.model.change import PutRoute, apply_change
from corianderwall.model.resource import Route, Service, Snapshot, Subscriber, VersionShare

SERVICES = 43
ROUTES = 129
SUBSCRIBERS = 200
MAX_TIMEOUT_MS = 60_000


def make_snapshot(
    *, services: int = SERVICES, routes: int = ROUTES, subscribers: int = SUBSCRIBERS
) -> Snapshot:
    """Return a coherent snapshot of version 1."""
    split = (VersionShare(version="v1", permille=1000),)
    return Snapshot(
        version=1,
        services=tuple(
            Service(name=f"service-{index:02d}", versions=("v1",), split=split)
            for index in range(services)
        ),
        routes=tuple(
            Route(
                name=f"route-{index:03d}",
                service=f"service-{index % services:02d}",
                path_prefix=f"/part-{index}",
            )
            for index in range(routes)
        ),
        subscribers=tuple(
            Subscriber(name=f"subscriber-{index:03d}") for index in range(subscribers)
        ),
    )


def change_route(snapshot: Snapshot, rng: random.Random) -> Snapshot:
    """Return the next version, with another timeout of one route."""
    route = rng.choice(snapshot.routes)
    changed = replace(route, timeout_ms=rng.randint(1, MAX_TIMEOUT_MS))
    return apply_change(snapshot, PutRoute(changed))
