"""Runs a check of a configuration and renders its report; needs no library of the client."""

import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict, dataclass

from corianderwall.model.checking import CheckReport, Difference, FindingKind, check_snapshot
from corianderwall.model.errors import CorianderwallError
from corianderwall.model.resource import Snapshot

EXIT_CLEAN = 0
EXIT_FINDINGS = 1
EXIT_UNUSABLE = 2


@dataclass(frozen=True, slots=True)
class CheckResult:
    """What a check prints and its exit code; the text of unusable input is an error message."""

    text: str
    exit_code: int


def run_check(
    decode: Callable[[bytes], Snapshot],
    candidate: bytes,
    in_force: bytes | None,
    *,
    versioned: bool,
    endpoints: Iterable[str],
    as_json: bool,
) -> CheckResult:
    """Check `candidate` against `in_force`; `endpoints` has texts of the form SERVICE=COUNT."""
    try:
        counts = dict(_parse_count(text) for text in endpoints)
        snapshot = _decode(decode, candidate, "the configuration")
        former = None
        if in_force is not None:
            former = _decode(decode, in_force, "the version in force")
    except ValueError as error:
        return CheckResult(f"unusable input: {error}", EXIT_UNUSABLE)
    report = check_snapshot(snapshot, former, versioned=versioned, endpoints=counts)
    text = json.dumps(asdict(report)) if as_json else "\n".join(_list_lines(report))
    return CheckResult(text, EXIT_FINDINGS if report.needs_correction else EXIT_CLEAN)


def _decode(decode: Callable[[bytes], Snapshot], data: bytes, name: str) -> Snapshot:
    try:
        return decode(data)
    except CorianderwallError as error:
        raise ValueError(f"{name}: {error.sentence}") from error


def _parse_count(text: str) -> tuple[str, int]:
    service, _, count = text.rpartition("=")
    if not service or not count.isdecimal():
        raise ValueError(f"{text!r} is not SERVICE=COUNT")
    return service, int(count)


def _list_lines(report: CheckReport) -> Iterator[str]:
    for finding in report.findings:
        yield f"{finding.kind.value}: {finding.sentence}"
    for difference in report.differences or ():
        yield _format_difference(difference)
    notes = sum(finding.kind is FindingKind.NOTE for finding in report.findings)
    counts = f"findings {len(report.findings) - notes}, notes {notes}"
    if report.differences is not None:
        counts += f", differences {len(report.differences)}"
    yield f"version {report.version}: {counts}"


def _format_difference(difference: Difference) -> str:
    line = f"{difference.change}: {difference.collection} {difference.name}".rstrip()
    changes = [f"{each.field} {each.before} -> {each.after}" for each in difference.fields]
    return f"{line}: {'; '.join(changes)}" if changes else line
