"""Leases stored as objects of the platform, with fencing tokens.

A lease only avoids duplicate work. Fencing tokens protect the writes of its holder.
"""

from dataclasses import dataclass
from typing import Protocol

import msgspec
from automat import TypeMachineBuilder

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.store.api import ObjectApi, StoredObject
from corianderwall.store.timer import Timer

LEASES_PREFIX = "leases/"
MAX_CLOCK_SKEW_S = 2.0
"""Time that another host waits after the stored deadline before it takes over the lease."""


class LeaseDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The value of a lease object; `nonce` distinguishes the writes of one holder."""

    holder: str
    nonce: str
    written_unix_ms: int
    deadline_unix_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A lease as granted to its holder; `deadline` is a time of the holder's monotonic clock."""

    fencing: int
    revision: int
    deadline: float
    deadline_unix_s: float


class LeaseStateMachine(Protocol):
    """State machine of a lease: absent, acquiring, held, lapsed."""

    def start_acquiring(self) -> None:
        """Start an attempt to acquire the lease."""

    def grant(self, grant: Grant) -> None:
        """Record that the lease was granted or renewed."""

    def refuse(self) -> None:
        """Record that another node holds the lease or that the outcome is unknown."""

    def lapse(self) -> None:
        """Record that the deadline has passed or that another node took over the lease."""

    def release(self) -> None:
        """Give up the lease."""

    def read_state(self) -> str:
        """Return the state: absent, acquiring, held or lapsed."""


@dataclass(slots=True)
class _LeaseCore:
    grant: Grant | None = None


def _build_state_machine() -> "TypeMachineBuilder[LeaseStateMachine, _LeaseCore]":
    builder = TypeMachineBuilder(LeaseStateMachine, _LeaseCore)
    absent = builder.state("absent")
    acquiring = builder.state("acquiring")
    held = builder.state("held")
    lapsed = builder.state("lapsed")

    def store_grant(machine: LeaseStateMachine, core: _LeaseCore, grant: Grant) -> None:
        core.grant = grant

    def drop_grant(machine: LeaseStateMachine, core: _LeaseCore) -> None:
        core.grant = None

    for state in (absent, lapsed):
        state.upon(LeaseStateMachine.start_acquiring).to(acquiring)(drop_grant)
        state.upon(LeaseStateMachine.lapse).loop()(drop_grant)
        state.upon(LeaseStateMachine.refuse).loop()(drop_grant)
        state.upon(LeaseStateMachine.release).to(absent)(drop_grant)
    acquiring.upon(LeaseStateMachine.grant).to(held)(store_grant)
    acquiring.upon(LeaseStateMachine.refuse).to(absent)(drop_grant)
    acquiring.upon(LeaseStateMachine.lapse).to(lapsed)(drop_grant)
    acquiring.upon(LeaseStateMachine.release).to(absent)(drop_grant)
    held.upon(LeaseStateMachine.grant).loop()(store_grant)
    held.upon(LeaseStateMachine.lapse).to(lapsed)(drop_grant)
    held.upon(LeaseStateMachine.refuse).to(lapsed)(drop_grant)
    held.upon(LeaseStateMachine.release).to(absent)(drop_grant)
    names = (("absent", absent), ("acquiring", acquiring), ("held", held), ("lapsed", lapsed))
    for name, state in names:
        state.upon(LeaseStateMachine.read_state).loop().returns(name)
    return builder


_create_state_machine = _build_state_machine().build()


class Lease:
    """State of one lease, without I/O; `LeaseKeeper` drives it."""

    def __init__(self) -> None:
        self._core = _LeaseCore()
        self._machine = _create_state_machine(self._core)

    @property
    def state(self) -> str:
        """Return the last recorded state: absent, acquiring, held or lapsed."""
        return self._machine.read_state()

    @property
    def grant(self) -> Grant | None:
        """Return the grant while the lease is held."""
        return self._core.grant

    def start_acquiring(self) -> None:
        """Start an attempt to acquire the lease."""
        self._machine.start_acquiring()

    def accept(self, grant: Grant, now: float) -> None:
        """Record a grant or a renewal; one that arrives after its deadline counts as a lapse."""
        if now >= grant.deadline:
            self._machine.lapse()
        else:
            self._machine.grant(grant)

    def refuse(self) -> None:
        """Record that the lease was refused."""
        self._machine.refuse()

    def release(self) -> None:
        """Give up the lease."""
        self._machine.release()

    def lapse(self) -> None:
        """Record that the lease is lost."""
        self._machine.lapse()

    def is_held(self, now: float) -> bool:
        """Return whether the lease is held at `now`, and record the lapse if it has expired."""
        grant = self._core.grant
        if grant is None:
            return False
        if now >= grant.deadline:
            self._machine.lapse()
            return False
        return True

    def require_held(self, now: float) -> int:
        """Return the fencing token or raise `LEASE_LOST`; call this right before each action."""
        grant = self._core.grant
        if grant is None or not self.is_held(now):
            raise CorianderwallError(ErrorCode.LEASE_LOST, "the lease is no longer held")
        return grant.fencing


class LeaseKeeper:
    """Acquires, renews and releases one lease through the object API."""

    def __init__(
        self, api: ObjectApi, timer: Timer, *, name: str, holder: str, ttl_s: float
    ) -> None:
        self.lease = Lease()
        self._api = api
        self._timer = timer
        self._key = f"{LEASES_PREFIX}{name}"
        self._holder = holder
        self._ttl_s = ttl_s
        self._write_count = 0

    async def acquire(self) -> bool:
        """Try once to take the lease; return False if another node holds it.

        Raises the platform's errors. It resolves a lost response by reading the lease, if
        that succeeds.
        """
        if self.lease.is_held(self._timer.read_monotonic()):
            return True
        self.lease.release()
        self.lease.start_acquiring()
        try:
            return await self._acquire()
        finally:
            if self.lease.state == "acquiring":
                self.lease.refuse()

    async def renew(self) -> bool:
        """Extend the lease; return False if it has lapsed or was taken over.

        After an error of the platform, the lease stays held until its current deadline.
        """
        grant = self.lease.grant
        if grant is None or not self.lease.is_held(self._timer.read_monotonic()):
            return False
        try:
            await self._write(grant.revision, fencing=grant.fencing)
        except CorianderwallError as error:
            if error.code is not ErrorCode.CONFLICT:
                raise
            self.lease.lapse()
        return self.lease.is_held(self._timer.read_monotonic())

    async def release(self) -> None:
        """Give up the lease, so that another node can take it immediately.

        The object is kept with an expired deadline instead of being deleted, because a platform
        that restarts the revisions of a new object would hand out an older token again.
        """
        grant = self.lease.grant
        self.lease.release()
        if grant is None:
            return
        document = self._build_document(deadline_unix_s=0)
        value = msgspec.json.encode(document)
        try:
            await self._api.write_if(self._key, value, expected_revision=grant.revision)
        except CorianderwallError as error:
            if error.code is not ErrorCode.CONFLICT:
                raise

    async def _acquire(self) -> bool:
        stored = await self._api.read(self._key)
        if stored is not None and not self._can_take_over(stored):
            return False
        try:
            await self._write(0 if stored is None else stored.revision, fencing=None)
        except CorianderwallError as error:
            if error.code is not ErrorCode.CONFLICT:
                raise
            return False
        return self.lease.is_held(self._timer.read_monotonic())

    async def _write(self, expected_revision: int, *, fencing: int | None) -> None:
        # Both deadlines are computed before the write is sent, so a pause can only shorten them.
        deadline = self._timer.read_monotonic() + self._ttl_s
        deadline_unix_s = self._timer.read_unix() + self._ttl_s
        document = self._build_document(deadline_unix_s=deadline_unix_s)
        revision = await self._write_document(document, expected_revision)
        grant = Grant(
            fencing=revision if fencing is None else fencing,
            revision=revision,
            deadline=deadline,
            deadline_unix_s=deadline_unix_s,
        )
        self.lease.accept(grant, self._timer.read_monotonic())

    def _build_document(self, *, deadline_unix_s: float) -> LeaseDocument:
        self._write_count += 1
        return LeaseDocument(
            holder=self._holder,
            nonce=f"{self._write_count}-{self._timer.read_monotonic()!r}",
            written_unix_ms=int(self._timer.read_unix() * 1000),
            deadline_unix_ms=int(deadline_unix_s * 1000),
        )

    async def _write_document(self, document: LeaseDocument, expected_revision: int) -> int:
        value = msgspec.json.encode(document)
        try:
            return await self._api.write_if(self._key, value, expected_revision=expected_revision)
        except CorianderwallError as error:
            if error.code is not ErrorCode.OUTCOME_UNKNOWN:
                raise
            stored = await self._api.read(self._key)
            if stored is None or stored.value != value:
                raise
            return stored.revision

    def _can_take_over(self, stored: StoredObject) -> bool:
        try:
            document = msgspec.json.decode(stored.value, type=LeaseDocument)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return True
        # A holder that lost the state of its own lease takes it again with a newer token.
        if document.holder == self._holder:
            return True
        expires_at = document.deadline_unix_ms / 1000 + MAX_CLOCK_SKEW_S
        return self._timer.read_unix() >= expires_at
