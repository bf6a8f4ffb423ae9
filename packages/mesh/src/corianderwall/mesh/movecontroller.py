"""Watches move orders, collects evidence about new versions, and writes the state of each move."""

import asyncio
import contextlib

import msgspec

from corianderwall.mesh.configuration import ConfigurationSync
from corianderwall.mesh.directory import Directory
from corianderwall.mesh.gate import EndpointGate
from corianderwall.mesh.leaders import list_leaders
from corianderwall.mesh.messages import Evidence, MoveNotice, MoveOrder, MoveView
from corianderwall.mesh.moves import (
    Move,
    MoveTracker,
    find_regression,
    is_overdue,
    may_complete,
    sum_evidence,
)
from corianderwall.mesh.peerlink import PeerLink
from corianderwall.mesh.source import (
    ConflictError,
    HistoryLostError,
    Position,
    Source,
    SourceError,
)
from corianderwall.mesh.tasks import Spawn
from corianderwall.model.resource import MoveState
from corianderwall.node.logs import log_info, log_warning

WATCH_TIMEOUT_S = 2.0
"""Timeout of one watch for orders. A lost watch has to be noticed before the endpoints of a new
version get calls without a known order, `UNORDERED_HOLD_S` after they appear."""
WATCH_PAUSE_S = 0.5
"""Pause between two watches and after a failed request to the platform."""
EVALUATION_INTERVAL_S = 0.3
"""Interval at which evidence is sent and evaluated; short compared with the time of a rollback."""
SHIFT_EVALUATION_INTERVAL_S = 0.1
"""The same while the new version gets all calls, so that a bad one is cut within its allowance."""
IDLE_INTERVAL_S = 1.0
"""Interval at which to check for a running move while there is none."""
LEADER_DELAY_S = 0.8
"""Time that each leader gives the one before it to write; covers a few platform requests."""
SHIFT_DURATION_S = 1.3
"""Time given to the running calls of the old version to end; enough for nearly all calls."""
MOVE_NOTICE_KIND = "moves"


class MoveController:
    """Runs in each node; the leaders of all zones evaluate moves and write states in turn.

    A leader that loses the platform can't write, and its peers learn of this late, so no move
    depends on a single node. Writes are conditional, so a second writer does no harm.
    """

    def __init__(
        self,
        tracker: MoveTracker,
        source: Source,
        directory: Directory,
        link: PeerLink,
        sync: ConfigurationSync,
        gate: EndpointGate,
        spawn: Spawn,
    ) -> None:
        self._tracker = tracker
        self._source = source
        self._directory = directory
        self._link = link
        self._sync = sync
        self._gate = gate
        self._spawn = spawn
        self._loop = asyncio.get_running_loop()
        self._writing: set[str] = set()
        # Set when a move changes, so that it is evaluated at once.
        self._changed = asyncio.Event()

    async def watch_orders(self) -> None:
        """Watch the platform for orders while this node follows it for its zone."""
        position: Position | None = None
        while True:
            if not self._sync.follows_source:
                position = None
                await asyncio.sleep(WATCH_PAUSE_S)
                continue
            try:
                if position is None:
                    reading = await self._source.read_orders()
                else:
                    reading = await self._source.watch_orders(position, WATCH_TIMEOUT_S)
                position = reading.position
                self._apply_orders(reading.items)
            except HistoryLostError:
                log_info("the history of the move orders has expired; reading all of them")
                position = None
            except SourceError as error:
                log_warning(
                    "watching the move orders failed",
                    reason=error.reason,
                    revision=position.revision if position is not None else None,
                )
                position = None
            await asyncio.sleep(WATCH_PAUSE_S)

    async def run(self) -> None:
        """Send evidence to the leaders, and evaluate moves while this node is one of them."""
        while True:
            await self._wait_for_change(self._choose_interval_s())
            if not self._list_unfinished():
                continue
            evidence = self._collect_evidence()
            leaders = list_leaders(self._directory, self._sync.source_ok)
            own = self._directory.own.name
            if evidence is not None:
                self._tracker.store_evidence(evidence)
                notice = MoveNotice(sender=self._directory.own, evidence=evidence)
                for leader in leaders:
                    if leader != own:
                        self._spawn(self._send_notice(leader, notice))
            if own in leaders:
                write_delay_s = leaders.index(own) * LEADER_DELAY_S
                for move in list(self._tracker.moves.values()):
                    self._evaluate(move, write_delay_s)

    def handle_notice(self, body: bytes) -> bytes | None:
        """Handle a message with a peer's views of moves or its evidence."""
        notice = msgspec.msgpack.decode(body, type=MoveNotice)
        now = self._loop.time()
        changed = [view for view in notice.views if self._tracker.merge_view(view, now)]
        if changed:
            self._changed.set()
        for view in changed:
            self._log_view(view, notice.sender.name)
        if notice.evidence is not None:
            self._tracker.store_evidence(notice.evidence)
        return b"ok"

    def _apply_orders(self, orders: tuple[MoveOrder, ...]) -> None:
        now = self._loop.time()
        changed = False
        for order in orders:
            view = MoveView(order=order, age_s=0.0)
            if self._tracker.merge_view(view, now):
                self._log_view(view, "platform")
                changed = True
        if changed:
            # The order is recorded as running before calls can show that its version is bad.
            self._changed.set()
            self._broadcast_views()

    def _list_unfinished(self) -> list[Move]:
        moves = self._tracker.moves.values()
        return [move for move in moves if move.is_running or move.is_state_lost]

    def _choose_interval_s(self) -> float:
        """Return the time until the next evaluation, if no move changes before."""
        unfinished = self._list_unfinished()
        if not unfinished:
            return IDLE_INTERVAL_S
        shifting = any(move.shifting and not move.cut for move in unfinished)
        return SHIFT_EVALUATION_INTERVAL_S if shifting else EVALUATION_INTERVAL_S

    async def _wait_for_change(self, interval_s: float) -> None:
        """Wait until a move changes, at most `interval_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval_s):
                await self._changed.wait()
        self._changed.clear()

    def _collect_evidence(self) -> Evidence | None:
        record = self._gate.record
        if record is None:
            return None
        return self._tracker.make_evidence(record.service, record.version, record.node)

    def _evaluate(self, move: Move, write_delay_s: float) -> None:
        """Stop calls to a bad version at once; write states after `write_delay_s`.

        Leaders earlier in the order have a shorter delay, so usually one of them has written it.
        """
        if move.settled is not None:
            if move.is_state_lost:
                self._start_write(move, move.settled)
            return
        finding = find_regression(move)
        now = self._loop.time()
        move.add_checkpoint(now)
        if (finding is not None or move.cut) and move.cut_write_at is None:
            move.cut_write_at = now + write_delay_s
        if finding is not None and not move.cut:
            move.cut = True
            log_warning(
                "the new version is bad; it gets no more calls",
                service=move.order.service,
                version_ordered=move.order.version,
                route=finding.route,
                cause=finding.cause,
                calls=finding.calls,
                failures=finding.failures,
                mean_ms=finding.mean_ms,
                old_mean_ms=finding.old_mean_ms,
                shifting=move.shifting,
                age_s=round(now - move.seen_at, 3),
            )
            self._broadcast_views()
        if move.cut:
            if move.cut_write_at is not None and now >= move.cut_write_at:
                self._start_write(move, MoveState.TAKEN_BACK)
        else:
            self._advance(move, write_delay_s)

    def _advance(self, move: Move, write_delay_s: float) -> None:
        """Move a service on towards its new version, of which nothing bad is known."""
        now = self._loop.time()
        has_endpoint = self._has_new_endpoint(move)
        if not has_endpoint and is_overdue(move, now - write_delay_s):
            self._give_up(move)
        elif move.shifting:
            self._finish_shift(move, write_delay_s, has_endpoint=has_endpoint)
        elif has_endpoint and may_complete(move, now - write_delay_s):
            self._start_shift(move)
        elif move.order.state is None and now - move.seen_at >= write_delay_s:
            self._start_write(move, MoveState.RUNNING)

    def _start_shift(self, move: Move) -> None:
        """Give the old version no more calls, so that its running ones end before it is stopped."""
        now = self._loop.time()
        new, old = sum_evidence(move)
        log_info(
            "the move can complete; the old version gets no more calls",
            service=move.order.service,
            version_ordered=move.order.version,
            age_s=round(now - move.seen_at, 3),
            calls=new.calls,
            failures=new.failures,
            old_calls=old.calls,
            old_failures=old.failures,
        )
        move.shifting = True
        move.shift_until = now + SHIFT_DURATION_S
        self._broadcast_views()

    def _has_new_endpoint(self, move: Move) -> bool:
        """Return whether an endpoint can take the calls once the old ones are stopped."""
        ready = self._directory.list_ready(move.order.service)
        return any(view.record.version == move.order.version for view in ready)

    def _give_up(self, move: Move) -> None:
        """Take a move back that has no endpoint to complete with at its deadline."""
        log_warning(
            "the new version has no endpoint at its deadline; the move is taken back",
            service=move.order.service,
            version_ordered=move.order.version,
            shifting=move.shifting,
        )
        move.cut = True
        move.cut_write_at = self._loop.time()
        self._broadcast_views()

    def _finish_shift(self, move: Move, write_delay_s: float, *, has_endpoint: bool) -> None:
        """Complete a move once the calls to the old version have ended."""
        now = self._loop.time()
        if move.shift_until is None:
            move.shift_until = now + SHIFT_DURATION_S + write_delay_s
        # Until the deadline an endpoint may come back.
        if now >= move.shift_until and has_endpoint:
            self._start_write(move, MoveState.COMPLETED)

    def _start_write(self, move: Move, state: MoveState) -> None:
        service = move.order.service
        if service not in self._writing:
            self._writing.add(service)
            # The write is for the order as evaluated: until it is sent, another leader may have
            # ended the move.
            self._spawn(self._write_state(move.order, state))

    async def _write_state(self, order: MoveOrder, state: MoveState) -> None:
        service = order.service
        try:
            written = await self._source.write_order_state(order, state)
        except ConflictError:
            log_info("a move order changed before its state was written", service=service)
            await self._reload_orders()
            await asyncio.sleep(WATCH_PAUSE_S)
        except SourceError as error:
            log_warning(
                "writing the state of a move failed",
                service=service,
                state=state.value,
                reason=error.reason,
            )
            await asyncio.sleep(EVALUATION_INTERVAL_S)
        else:
            log_info("wrote the state of a move", service=service, state=state.value)
            self._apply_orders((written,))
        finally:
            self._writing.discard(service)

    async def _reload_orders(self) -> None:
        try:
            reading = await self._source.read_orders()
        except SourceError as error:
            log_warning("reading the move orders failed", reason=error.reason)
            return
        self._apply_orders(reading.items)

    def _broadcast_views(self) -> None:
        views = self._tracker.list_views(self._loop.time())
        notice = MoveNotice(sender=self._directory.own, views=views)
        for peer in list(self._directory.list_live()):
            self._spawn(self._send_notice(peer.record.name, notice))

    async def _send_notice(self, name: str, notice: MoveNotice) -> None:
        peer = self._directory.peers.get(name)
        if peer is not None:
            await self._link.post(peer.record, MOVE_NOTICE_KIND, msgspec.msgpack.encode(notice))

    def _log_view(self, view: MoveView, origin: str) -> None:
        order = view.order
        log_info(
            "the state of a move changed",
            service=order.service,
            version_ordered=order.version,
            state=order.state.value if order.state is not None else "none",
            cut=view.cut,
            shifting=view.shifting,
            age_s=view.age_s,
            origin=origin,
            revision=order.revision,
            era=order.era,
        )
