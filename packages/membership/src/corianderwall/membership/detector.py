"""Detects failed neighbours by silence, confirmed by indirect probes through other hosts."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from corianderwall.membership.events import LinkSilent, MembershipEvent
from corianderwall.membership.messages import ProbeRequest
from corianderwall.membership.settings import MembershipSettings
from corianderwall.model.message import OutgoingMessage

HELPERS = 3
"""The number of other neighbours of a silent host that are asked whether they hear it."""

DEAF_HEARTBEATS = 3
"""The number of consecutive heartbeats with `hears_you` false after which the link to the peer
is replaced."""

MAX_BACKOFF_DOUBLINGS = 6


@dataclass(slots=True)
class _Watch:
    heard_at: float
    probed_at: float | None = None
    is_heard_by_others: bool = False
    is_accused: bool = False
    accused_at: float = 0.0
    accuse_not_before: float = 0.0
    refutations: int = 0
    link_not_before: float = 0.0
    deaf_heartbeats: int = 0


@dataclass(slots=True)
class Findings:
    """The results of one round of the detector."""

    outgoing: list[OutgoingMessage] = field(default_factory=list)
    events: list[MembershipEvent] = field(default_factory=list)
    accused: list[str] = field(default_factory=list)
    cleared: list[str] = field(default_factory=list)


class SilenceDetector:
    """Detects watched hosts that have fallen silent, and replaces links that carry nothing."""

    def __init__(
        self, settings: MembershipSettings, find_helpers: Callable[[str], Iterable[str]]
    ) -> None:
        self._settings = settings
        self._find_helpers = find_helpers
        self._watches: dict[str, _Watch] = {}

    def watch(self, names: Iterable[str], now: float) -> list[str]:
        """Watch exactly these hosts; return accused hosts that are no longer watched."""
        kept = {name: self._watches.get(name) or _Watch(heard_at=now) for name in names}
        dropped = [
            name for name, watch in self._watches.items() if watch.is_accused and name not in kept
        ]
        self._watches = kept
        return dropped

    def note_heard(self, name: str, now: float) -> None:
        """Record that a message from a host has arrived."""
        watch = self._watches.get(name)
        if watch is not None:
            watch.heard_at = now
            watch.probed_at = None

    def note_hears_us(self, name: str, hears_us: bool, now: float) -> list[MembershipEvent]:
        """Record whether a peer hears this node; replace the link if it repeatedly does not."""
        watch = self._watches.get(name)
        if watch is None:
            return []
        watch.deaf_heartbeats = 0 if hears_us else watch.deaf_heartbeats + 1
        if watch.deaf_heartbeats < DEAF_HEARTBEATS:
            return []
        watch.deaf_heartbeats = 0
        return self._replace_link(name, watch, now)

    def note_report(self, subject: str, is_heard: bool) -> None:
        """Record the response to an indirect probe."""
        watch = self._watches.get(subject)
        if watch is not None and is_heard:
            watch.is_heard_by_others = True

    def note_refuted(self, name: str, now: float) -> list[MembershipEvent]:
        """Withdraw the accusation of a host that refuted it, and delay the next one.

        The delay doubles with each refutation.
        """
        watch = self._watches.get(name)
        if watch is None or not watch.is_accused:
            return []
        watch.is_accused = False
        watch.refutations = min(watch.refutations + 1, MAX_BACKOFF_DOUBLINGS)
        watch.accuse_not_before = now + self._settings.link_retry_s * 2**watch.refutations
        return self._replace_link(name, watch, now)

    def is_accusing(self, name: str) -> bool:
        """Return whether this node currently accuses a host."""
        watch = self._watches.get(name)
        return watch is not None and watch.is_accused

    def hears(self, name: str, now: float) -> bool:
        """Return whether a host was heard recently; hosts not watched count as heard."""
        watch = self._watches.get(name)
        return watch is None or now - watch.heard_at <= self._settings.silence_s

    def is_heard(self, name: str, now: float) -> bool:
        """Return whether a host is watched by this node and has been heard recently."""
        return name in self._watches and self.hears(name, now)

    def forgive_all(self, now: float) -> None:
        """Treat all watched hosts as just heard, after this process itself was paused."""
        for watch in self._watches.values():
            watch.heard_at = now
            watch.probed_at = None

    def run_round(self, may_accuse: Callable[[str], bool], now: float) -> Findings:
        """Probe silent hosts, accuse those that nobody hears and clear those heard again."""
        findings = Findings()
        for name, watch in self._watches.items():
            if self.hears(name, now):
                self._clear(name, watch, findings)
            elif watch.probed_at is None:
                self._probe(name, watch, findings, now)
            elif now - watch.probed_at >= self._settings.probe_wait_s:
                self._conclude(name, watch, findings, may_accuse, now)
        return findings

    def _clear(self, name: str, watch: _Watch, findings: Findings) -> None:
        if watch.is_accused:
            watch.is_accused = False
            findings.cleared.append(name)

    def _probe(self, name: str, watch: _Watch, findings: Findings, now: float) -> None:
        watch.probed_at = now
        watch.is_heard_by_others = False
        helpers = list(self._find_helpers(name))[:HELPERS]
        findings.outgoing.extend(OutgoingMessage(helper, ProbeRequest(name)) for helper in helpers)

    def _conclude(
        self,
        name: str,
        watch: _Watch,
        findings: Findings,
        may_accuse: Callable[[str], bool],
        now: float,
    ) -> None:
        if watch.is_heard_by_others:
            findings.events.extend(self._replace_link(name, watch, now))
            self._clear(name, watch, findings)
            watch.probed_at = None
            return
        if not watch.is_accused:
            if now >= watch.accuse_not_before and may_accuse(name):
                self._accuse(name, watch, findings, now)
            else:
                watch.probed_at = None
        elif now - watch.accused_at >= self._settings.suspicion_repeat_s:
            self._accuse(name, watch, findings, now)

    def _accuse(self, name: str, watch: _Watch, findings: Findings, now: float) -> None:
        watch.is_accused = True
        watch.accused_at = now
        findings.accused.append(name)

    def _replace_link(self, name: str, watch: _Watch, now: float) -> list[MembershipEvent]:
        if now < watch.link_not_before:
            return []
        watch.link_not_before = now + self._settings.link_retry_s
        return [LinkSilent(name)]
