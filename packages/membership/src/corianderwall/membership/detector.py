"""Detects failed neighbours by silence, confirmed by indirect probes through other hosts."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from corianderwall.membership.events import LinkSilent, MembershipEvent
from corianderwall.membership.messages import ProbeRequest
from corianderwall.membership.settings import MembershipSettings
from corianderwall.model.message import OutgoingMessage

MAX_PROBERS = 3
"""The number of other neighbours of a silent host that are asked whether they hear it."""

UNHEARD_HEARTBEATS_LIMIT = 3
"""The number of consecutive heartbeats with `hears_you` false after which the link to the peer
is replaced."""

MAX_BACKOFF_DOUBLINGS = 6


@dataclass(slots=True)
class _HostState:
    heard_at: float
    probed_at: float | None = None
    is_heard_by_others: bool = False
    is_accused: bool = False
    accused_at: float = 0.0
    accuse_not_before: float = 0.0
    refutations: int = 0
    replace_link_not_before: float = 0.0
    unheard_heartbeats: int = 0


@dataclass(slots=True)
class Findings:
    """The results of one round of the detector."""

    outgoing: list[OutgoingMessage] = field(default_factory=list)
    events: list[MembershipEvent] = field(default_factory=list)
    accused: list[str] = field(default_factory=list)
    cleared: list[str] = field(default_factory=list)


class FailureDetector:
    """Detects watched hosts that have fallen silent, and replaces links that carry nothing."""

    def __init__(
        self, settings: MembershipSettings, find_probers: Callable[[str], Iterable[str]]
    ) -> None:
        self._settings = settings
        self._find_probers = find_probers
        self._states: dict[str, _HostState] = {}

    def watch_only(self, names: Iterable[str], now: float) -> list[str]:
        """Watch exactly these hosts; return accused hosts that are no longer watched."""
        kept = {name: self._states.get(name) or _HostState(heard_at=now) for name in names}
        dropped = [
            name for name, state in self._states.items() if state.is_accused and name not in kept
        ]
        self._states = kept
        return dropped

    def record_heard(self, name: str, now: float) -> None:
        """Record that a message from a host has arrived."""
        state = self._states.get(name)
        if state is not None:
            state.heard_at = now
            state.probed_at = None

    def record_hears_us(self, name: str, hears_us: bool, now: float) -> list[MembershipEvent]:
        """Record whether a peer hears this node; replace the link if it repeatedly does not."""
        state = self._states.get(name)
        if state is None:
            return []
        state.unheard_heartbeats = 0 if hears_us else state.unheard_heartbeats + 1
        if state.unheard_heartbeats < UNHEARD_HEARTBEATS_LIMIT:
            return []
        state.unheard_heartbeats = 0
        return self._replace_link(name, state, now)

    def record_probe_report(self, subject: str, is_heard: bool) -> None:
        """Record the response to an indirect probe."""
        state = self._states.get(subject)
        if state is not None and is_heard:
            state.is_heard_by_others = True

    def record_refutation(self, name: str, now: float) -> list[MembershipEvent]:
        """Withdraw the accusation of a host that refuted it, and delay the next one.

        The delay doubles with each refutation.
        """
        state = self._states.get(name)
        if state is None or not state.is_accused:
            return []
        state.is_accused = False
        state.refutations = min(state.refutations + 1, MAX_BACKOFF_DOUBLINGS)
        state.accuse_not_before = now + self._settings.link_retry_s * 2**state.refutations
        return self._replace_link(name, state, now)

    def is_accusing(self, name: str) -> bool:
        """Return whether this node currently accuses a host."""
        state = self._states.get(name)
        return state is not None and state.is_accused

    def hears(self, name: str, now: float) -> bool:
        """Return whether a host was heard recently; hosts not watched count as heard."""
        state = self._states.get(name)
        return state is None or now - state.heard_at <= self._settings.silence_s

    def is_heard(self, name: str, now: float) -> bool:
        """Return whether a host is watched by this node and has been heard recently."""
        return name in self._states and self.hears(name, now)

    def reset_silence(self, now: float) -> None:
        """Treat all watched hosts as just heard, after this process itself was paused."""
        for state in self._states.values():
            state.heard_at = now
            state.probed_at = None

    def run_round(self, may_accuse: Callable[[str], bool], now: float) -> Findings:
        """Probe silent hosts, accuse those that nobody hears and clear those heard again."""
        findings = Findings()
        for name, state in self._states.items():
            if self.hears(name, now):
                self._clear(name, state, findings)
            elif state.probed_at is None:
                self._probe(name, state, findings, now)
            elif now - state.probed_at >= self._settings.probe_wait_s:
                self._evaluate_probe(name, state, findings, may_accuse, now)
        return findings

    def _clear(self, name: str, state: _HostState, findings: Findings) -> None:
        if state.is_accused:
            state.is_accused = False
            findings.cleared.append(name)

    def _probe(self, name: str, state: _HostState, findings: Findings, now: float) -> None:
        state.probed_at = now
        state.is_heard_by_others = False
        probers = list(self._find_probers(name))[:MAX_PROBERS]
        findings.outgoing.extend(OutgoingMessage(prober, ProbeRequest(name)) for prober in probers)

    def _evaluate_probe(
        self,
        name: str,
        state: _HostState,
        findings: Findings,
        may_accuse: Callable[[str], bool],
        now: float,
    ) -> None:
        if state.is_heard_by_others:
            findings.events.extend(self._replace_link(name, state, now))
            self._clear(name, state, findings)
            state.probed_at = None
            return
        if not state.is_accused:
            if now >= state.accuse_not_before and may_accuse(name):
                self._accuse(name, state, findings, now)
            else:
                state.probed_at = None
        elif now - state.accused_at >= self._settings.suspicion_repeat_s:
            self._accuse(name, state, findings, now)

    def _accuse(self, name: str, state: _HostState, findings: Findings, now: float) -> None:
        state.is_accused = True
        state.accused_at = now
        findings.accused.append(name)

    def _replace_link(self, name: str, state: _HostState, now: float) -> list[MembershipEvent]:
        if now < state.replace_link_not_before:
            return []
        state.replace_link_not_before = now + self._settings.link_retry_s
        return [LinkSilent(name)]
