"""The newest snapshot of this node and some of its predecessors."""

from collections import OrderedDict

from corianderwall.distribution.messages import NO_VERSION
from corianderwall.model.codec import compute_digest
from corianderwall.model.delta import Delta, compute_delta
from corianderwall.model.resource import Snapshot


class History:
    """Keeps the newest snapshots by digest; versions are added in increasing order."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._snapshots: OrderedDict[str, Snapshot] = OrderedDict()
        self._deltas: dict[str, Delta] = {}
        self.newest: Snapshot | None = None
        self.digest = ""

    @property
    def version(self) -> int:
        """The version of the newest snapshot, `NO_VERSION` if there is none."""
        return NO_VERSION if self.newest is None else self.newest.version

    def add(self, snapshot: Snapshot) -> None:
        """Add a snapshot that is newer than all others."""
        if snapshot.version <= self.version:
            raise ValueError(f"version {snapshot.version} is not newer than {self.version}")
        self.newest = snapshot
        self.digest = compute_digest(snapshot)
        self._snapshots[self.digest] = snapshot
        self._deltas.clear()
        while len(self._snapshots) > self._size:
            self._snapshots.popitem(last=False)

    def find_at_most(self, version: int) -> Snapshot | None:
        """Return the newest kept snapshot whose version is not above `version`."""
        for snapshot in reversed(self._snapshots.values()):
            if snapshot.version <= version:
                return snapshot
        return None

    def make_delta(self, base_digest: str) -> Delta | None:
        """Return the delta from a kept snapshot to the newest, None if the base is not kept."""
        base = self._snapshots.get(base_digest)
        if base is None or self.newest is None:
            return None
        if base_digest not in self._deltas:
            self._deltas[base_digest] = compute_delta(base, self.newest)
        return self._deltas[base_digest]
