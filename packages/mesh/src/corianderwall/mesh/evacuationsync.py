"""Watches the evacuations of zones at the platform's store and spreads them to all nodes.

One node watches. After each answer of the store it tells the other leaders, and one that has not
been told for too long watches itself. So the store is paid for one watch as a rule, and the death
of the watching node, or an answer that it lost, costs seconds and no detection of failures.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

import msgspec

from corianderwall.mesh.configuration import ConfigurationSync
from corianderwall.mesh.directory import Directory, EndpointView, Peer
from corianderwall.mesh.evacuations import Evacuations, apply_changes
from corianderwall.mesh.leaders import list_standbys
from corianderwall.mesh.messages import EvacuationNotice, EvacuationState, Refusal
from corianderwall.mesh.peerlink import PeerLink
from corianderwall.mesh.settings import PLACES_SECTION, HostSettings
from corianderwall.mesh.source import HistoryLostError, Position, Source, SourceError
from corianderwall.mesh.tasks import Spawn
from corianderwall.node.logs import log_info, log_warning

WATCH_TIMEOUT_S = 2.0
"""Timeout of one watch. A lost answer is noticed half a second later, which leaves half of the 5 s
within which an evacuation has to be in force."""
WATCH_PAUSE_S = 0.5
"""Pause between two watches; with it, one node makes 0.4 calls per second."""
CONFIRMATION_MAX_AGE_S = 3.0
"""Age of the last confirmation from which a leader watches itself: `WATCH_TIMEOUT_S`, the pause and
half a second for messages. With its rank, a check, a read and a broadcast, the next leader has an
evacuation in force 3.9 s after the watching node has died."""
STANDBY_DELAY_S = 0.5
"""Time that each leader gives the one before it; a read and its confirmation take less."""
MIN_STANDBYS = 3
"""Nodes that can watch; with fewer zones than this, further nodes stand by. After the failure of
one, a second one may be turned away by the store."""
CHECK_INTERVAL_S = 0.25
"""Interval at which a node that does not watch checks whether it should."""
RETRY_MIN_S = 0.25
RETRY_MAX_S = 1.0
"""First and longest pause after a failed request to the platform."""
JOIN_TIMEOUT_S = 1.5
"""Longest wait for the other nodes' records after a start, before this node may watch."""
OWN_READ_DELAY_S = 2.0
"""Time after which a node that no peer has told any state reads it itself. By then the leaders have
taken their turns."""
OWN_READ_PAUSE_S = 4.0
"""Pause after such a read has failed; the leaders ask more often and tell all nodes."""
UNKNOWN_LIMIT_S = 10.0
"""Time after a start for which the endpoint gets no calls while no state is known: the bound of an
evacuation (5 s) and what an unstable store adds to it (5 s)."""
MAX_NOTICE_TRIES = 3
"""Tries to tell a peer of a change; after these, the next heartbeat shows the difference."""
NOTICE_RETRY_S = 0.25
"""Pause before a lost notice is repeated; several response times of a peer in another zone."""
EVACUATION_NOTICE_KIND = "evacuations"

_notice_decoder = msgspec.msgpack.Decoder(EvacuationNotice)
_state_decoder = msgspec.msgpack.Decoder(EvacuationState | None)


class EvacuationSync:
    """Runs in each node; does nothing and asks nothing of the store unless zones are evacuated.

    `on_own_change` is called when an evacuation of this node's zone begins or ends.
    """

    def __init__(
        self,
        settings: HostSettings,
        source: Source,
        directory: Directory,
        link: PeerLink,
        configuration: ConfigurationSync,
        joined: asyncio.Event,
        spawn: Spawn,
        on_own_change: Callable[[bool], None],
    ) -> None:
        self.refused_calls = 0
        self._active = PLACES_SECTION in settings.sections
        self._zone = settings.zone
        self._source = source
        self._directory = directory
        self._link = link
        self._configuration = configuration
        self._joined = joined
        self._spawn = spawn
        self._on_own_change = on_own_change
        self._loop = asyncio.get_running_loop()
        self._register = Evacuations()
        self._own_closed = False
        self._hold_timer: asyncio.TimerHandle | None = None
        # The zones at the position of the running watch.
        self._watched: frozenset[str] = frozenset()
        self._began = self._heard_at = self._loop.time()
        self._own_read_at = self._began + OWN_READ_DELAY_S

    # What the parts of this node ask.

    def list_closed(self) -> frozenset[str]:
        """Return the zones whose endpoints get no calls."""
        return self._register.list_closed(self._loop.time())

    def filter_endpoints(self, views: list[EndpointView]) -> list[EndpointView]:
        """Return the endpoints that may get calls."""
        closed = self.list_closed()
        return [view for view in views if view.record.zone not in closed] if closed else views

    def find_refusal(self) -> Refusal | None:
        """Return why the endpoint of this node may get no calls, None if it may."""
        if not self._active:
            return None
        now = self._loop.time()
        if self._register.state is None:
            # The zone may have been evacuated before this process started.
            return Refusal.UNKNOWN if now < self._began + UNKNOWN_LIMIT_S else None
        return Refusal.EVACUATED if self._zone in self._register.list_closed(now) else None

    def report_refusal(self) -> EvacuationState | None:
        """Count a call that was refused as evacuated; return the state for its entry."""
        self.refused_calls += 1
        return self.make_state()

    def make_state(self) -> EvacuationState | None:
        """Return the state for a message, None if none is known."""
        return self._register.make_state(self._loop.time())

    def merge(self, state: EvacuationState | None, origin: str) -> bool:
        """Merge a state from `origin`; return whether it changes what is evacuated."""
        if not self._active:
            return False
        now = self._loop.time()
        former = self._register.state
        changed = self._register.merge(state, now)
        newest = self._register.state
        if newest is not former:
            # The state may also hold zones that this node has not known.
            self._apply()
        if changed and newest is not None:
            log_info(
                "the evacuated zones changed",
                zones=list(newest.zones),
                former=list(former.zones) if former is not None else None,
                closed=sorted(self._register.list_closed(now)),
                era=newest.era,
                revision=newest.revision,
                origin=origin,
            )
        return changed

    def handle_notice(self, body: bytes) -> bytes | None:
        """Merge a peer's notice and return the state of this node."""
        notice = _notice_decoder.decode(body)
        if notice.confirmed:
            self._heard_at = self._loop.time()
        self.merge(notice.state, notice.sender.name)
        return msgspec.msgpack.encode(self.make_state())

    # Watching the store.

    async def run(self) -> None:
        """Watch the store whenever this node has to, until cancelled."""
        if not self._active:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self._joined.wait()
        self._heard_at = self._loop.time()
        position: Position | None = None
        idle = True
        pause_s = RETRY_MIN_S
        while True:
            if not self._must_watch():
                position, idle = None, True
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            try:
                position = await self._read_changes(position, takes_over=idle)
            except HistoryLostError as error:
                log_info("reading all evacuations again", reason=error.reason)
                position = None
                await asyncio.sleep(RETRY_MIN_S)
            except SourceError as error:
                log_warning(
                    "watching the evacuations failed",
                    reason=error.reason,
                    revision=position.revision if position is not None else None,
                )
                position = None
                self._own_read_at = self._loop.time() + OWN_READ_PAUSE_S
                await asyncio.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, pause_s * 2)
            else:
                idle = False
                pause_s = RETRY_MIN_S
                await asyncio.sleep(WATCH_PAUSE_S)

    async def _read_changes(self, position: Position | None, *, takes_over: bool) -> Position:
        if position is None:
            reading = await self._source.read_evacuations()
            self._watched = frozenset(reading.items)
            newest = reading.position
        else:
            changes = await self._source.watch_evacuations(position, WATCH_TIMEOUT_S)
            self._watched = apply_changes(self._watched, changes.items)
            newest = changes.position
        state = EvacuationState(
            era=newest.era, revision=newest.revision, zones=tuple(sorted(self._watched))
        )
        if self.merge(state, "platform") or takes_over:
            # The node that watched before may have died before it told all nodes.
            self._confirm(self._directory.peers.values(), tries=MAX_NOTICE_TRIES)
        else:
            self._confirm(self._list_standby_peers(), tries=1)
        return newest

    def _must_watch(self) -> bool:
        """Return whether this node has to ask the store now.

        The first leader always watches. Another one does if it has not been told by a watching node
        for so long that no node may be watching, whatever the cause.
        """
        now = self._loop.time()
        rank = self._find_rank()
        unknown = self._register.state is None
        if rank is None:
            return unknown and now >= self._own_read_at
        if rank == 0:
            return True
        max_age_s = 0.0 if unknown else CONFIRMATION_MAX_AGE_S
        return now - self._heard_at > max_age_s + rank * STANDBY_DELAY_S

    def _list_standbys(self) -> list[str]:
        return list_standbys(self._directory, self._configuration.source_ok, MIN_STANDBYS)

    def _find_rank(self) -> int | None:
        names = self._list_standbys()
        own = self._directory.own.name
        return names.index(own) if own in names else None

    def _list_standby_peers(self) -> list[Peer]:
        peers = self._directory.peers
        return [peers[name] for name in self._list_standbys() if name in peers]

    def _confirm(self, peers: Iterable[Peer], *, tries: int) -> None:
        """Tell `peers` what the store has just answered."""
        for peer in peers:
            self._spawn(self._send_notice(peer, tries))

    async def _send_notice(self, peer: Peer, tries: int) -> None:
        for number in range(tries):
            if number:
                await asyncio.sleep(NOTICE_RETRY_S)
            # Each try sends the newest state; only the first one follows an answer of the store.
            notice = EvacuationNotice(
                sender=self._directory.own,
                state=self.make_state(),
                confirmed=not number,
            )
            reply = await self._link.post(
                peer.record, EVACUATION_NOTICE_KIND, msgspec.msgpack.encode(notice)
            )
            if reply:
                self.merge(_state_decoder.decode(reply), peer.record.name)
                return

    # Zones that close and open.

    def _apply(self) -> None:
        """Report a change of this node's zone, now and when a hold ends."""
        now = self._loop.time()
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None
        if now < self._register.hold_until:
            self._hold_timer = self._loop.call_at(self._register.hold_until, self._end_hold)
        closed = self._zone in self._register.list_closed(now)
        if closed is not self._own_closed:
            self._own_closed = closed
            log_info("the zone of this node is open or closed", zone=self._zone, closed=closed)
            self._on_own_change(closed)

    def _end_hold(self) -> None:
        self._hold_timer = None
        log_info("zones are no longer held closed", closed=sorted(self.list_closed()))
        self._apply()
