"""Splits the calls of a route among its services by weight."""

from random import Random

from corianderwall.model.resource import Route, list_backends


class WeightedSplit:
    """Smooth weighted round robin for each route; each node starts at a random position.

    The services are interleaved, so that any sequence of calls as long as the sum of the weights
    has exact shares.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._credits: dict[str, tuple[object, dict[str, float]]] = {}

    def pick(self, route: Route) -> str:
        """Return the service of the next call on `route`."""
        backends = list_backends(route)
        if len(backends) == 1:
            return backends[0].service
        total = sum(backend.weight for backend in backends)
        if total <= 0:
            return backends[0].service
        kept = self._credits.get(route.name)
        if kept is None or kept[0] != backends:
            start = {b.service: self._random.random() * b.weight for b in backends}
            kept = self._credits[route.name] = (backends, start)
        credits = kept[1]
        for backend in backends:
            credits[backend.service] += backend.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen
