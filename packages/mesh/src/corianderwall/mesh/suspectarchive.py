"""Keeps quarantines at the platform, as a loss of all hosts ends every node's memory."""

import asyncio

from corianderwall.mesh.source import Source, SourceError
from corianderwall.node.logs import log_info, log_warning
from corianderwall.traffic.suspects import Suspects

SAVE_INTERVAL_S = 0.25
"""Interval at which a change is written; also the shortest time between two writes."""
RETRY_INTERVAL_S = 2.0
"""Pause after a failed request to the platform."""
MAX_LOAD_TRIES = 15
"""Tries to load what a former fleet has written; peers tell each other if one has loaded it."""


class SuspectArchive:
    """Writes the quarantines that this node has to write, and loads those of a former fleet."""

    def __init__(self, suspects: Suspects, source: Source) -> None:
        self._suspects = suspects
        self._source = source
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Write changes until cancelled."""
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if self._suspects.unsaved and not await self._save():
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def load(self, *, deletes_expired: bool) -> None:
        """Merge the quarantines that the platform has; delete the expired ones if told to."""
        for _ in range(MAX_LOAD_TRIES):
            try:
                records = await self._source.list_suspects()
            except SourceError as error:
                log_warning("loading the quarantines failed", reason=error.reason)
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._suspects.merge(records, self._loop.time())
            expired = [r.fingerprint for r in records if not self._suspects.knows(r.fingerprint)]
            if deletes_expired:
                self._suspects.unsaved.update(expired)
            log_info("loaded the quarantines", count=len(records), expired=len(expired))
            return

    async def _save(self) -> bool:
        """Write or delete one quarantine; return whether the platform has done it."""
        fingerprint, record = self._suspects.take_unsaved(self._loop.time())
        try:
            if record is None:
                await self._source.delete_suspect(fingerprint)
            else:
                await self._source.write_suspect(record)
        except SourceError as error:
            self._suspects.unsaved.add(fingerprint)
            log_warning("saving a quarantine failed", fingerprint=fingerprint, reason=error.reason)
            return False
        log_info("saved a quarantine", fingerprint=fingerprint, deleted=record is None)
        return True
