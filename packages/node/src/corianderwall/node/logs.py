"""Logs as JSON lines through absl, each with the node, its availability zone and version."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Annotated, cast

import msgspec
from absl import flags
from absl import logging as absl_logging
from absl.logging import converter
from msgspec import Meta
from twisted.logger import LogEvent, LogLevel, globalLogPublisher

from corianderwall.model.settings import Section

if TYPE_CHECKING:
    from twisted.logger import ILogObserver

_encoder = msgspec.json.Encoder(enc_hook=str)

FIELDS_ATTRIBUTE = "corianderwall_fields"

_LEVELS = {
    LogLevel.debug: logging.DEBUG,
    LogLevel.info: logging.DEBUG,
    LogLevel.warn: logging.WARNING,
    LogLevel.error: logging.ERROR,
    LogLevel.critical: logging.CRITICAL,
}


class LogSettings(Section, frozen=True, kw_only=True):
    """What is logged; lines go to standard error."""

    level: Annotated[
        str,
        Meta(
            description="lowest level: debug, info, warning or error",
            pattern="^(debug|info|warning|error)$",
        ),
    ] = "info"


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object on a line."""

    def __init__(self, *, node: str, zone: str, read_version: Callable[[], int]) -> None:
        super().__init__()
        self._node = node
        self._zone = zone
        self._read_version = read_version

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON; the fields of the record come last."""
        line: dict[str, object] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "node": self._node,
            "zone": self._zone,
            "version": self._read_version(),
            "message": record.getMessage(),
        }
        line.update(getattr(record, FIELDS_ATTRIBUTE, {}))
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.format(_encoder.encode(line), indent=0).decode()


def start_logs(
    settings: LogSettings, *, node: str, zone: str, read_version: Callable[[], int]
) -> None:
    """Send absl's and Twisted's logs to standard error as JSON lines."""
    # Unless the flags are marked as parsed, absl first writes a warning that is not JSON.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    formatter = JsonFormatter(node=node, zone=zone, read_version=read_version)
    absl_logging.get_absl_handler().setFormatter(formatter)
    absl_logging.set_verbosity(getattr(absl_logging, settings.level.upper()))
    absl_logging.set_stderrthreshold(settings.level)
    globalLogPublisher.addObserver(cast("ILogObserver", _forward_twisted_event))


class LogBudget:
    """Limits the number of log lines per second and counts the suppressed ones."""

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines = 0
        self.suppressed = 0

    def take(self, now: float) -> bool:
        """Return whether a line may be written at the monotonic time `now`."""
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        if self._lines <= self._lines_per_s:
            return True
        self.suppressed += 1
        return False


def log_event(level: int, message: str, **fields: object) -> None:
    """Log `message` with typed fields; callers never pass keys or tokens as fields."""
    logger = absl_logging.get_absl_logger()
    number = converter.absl_to_standard(level)
    if logger.isEnabledFor(number):
        # The record is built by hand: finding the caller's file and line, which are not logged,
        # costs more than everything else here.
        record = logging.LogRecord(logger.name, number, "", 0, message, None, None)
        setattr(record, FIELDS_ATTRIBUTE, fields)
        logger.handle(record)


def log_info(message: str, **fields: object) -> None:
    """Log an event of normal operation that is useful to operators."""
    log_event(absl_logging.INFO, message, **fields)


def log_warning(message: str, **fields: object) -> None:
    """Log a problem that the system handles but operators should know about."""
    log_event(absl_logging.WARNING, message, **fields)


def log_error(message: str, **fields: object) -> None:
    """Log a failure after which this process can't do its work."""
    log_event(absl_logging.ERROR, message, **fields)


def _forward_twisted_event(event: LogEvent) -> None:
    level = _LEVELS.get(event.get("log_level", LogLevel.info), logging.DEBUG)
    if level < logging.WARNING:
        return
    failure = event.get("log_failure")
    text = event.get("log_format") or ""
    fields = {"namespace": event.get("log_namespace", "")}
    if failure is not None:
        fields["traceback"] = failure.getTraceback()
    logging.getLogger("absl").log(level, text, extra={FIELDS_ATTRIBUTE: fields})
