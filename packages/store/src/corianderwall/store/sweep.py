"""Deletes unreferenced parts, the oldest archived versions and abandoned leases."""

import msgspec

from corianderwall.model.errors import CorianderwallError, ErrorCode
from corianderwall.store.api import ObjectApi
from corianderwall.store.document import AUDIT_PREFIX, PARTS_PREFIX, StoredHead, build_audit_key
from corianderwall.store.lease import LEASES_PREFIX, LeaseDocument

MAX_DELETIONS = 50
"""Maximum number of deletions per sweep, so that it stays within the node's call budget."""

ABANDONED_AFTER_MS = 7 * 24 * 3_600_000
MAX_ARCHIVED_VERSIONS = 260_000
"""Versions kept in the archive, enough for a year with 710 changes a day."""


async def sweep_objects(
    api: ObjectApi, stored: StoredHead, *, max_archived_versions: int = MAX_ARCHIVED_VERSIONS
) -> int:
    """Delete unreferenced parts and the oldest archived versions; return their number.

    Parts made for a later version than the given head are kept, because their writer may be about
    to write the head that refers to them.
    """
    keys = find_unreferenced_parts(await api.list_keys(PARTS_PREFIX), stored)
    newest_expired_version = stored.head.version - max_archived_versions
    if newest_expired_version > 0:
        archived = await api.list_keys(AUDIT_PREFIX)
        keys.extend(key for key in archived if key <= build_audit_key(newest_expired_version))
    return await _delete(api, keys[:MAX_DELETIONS])


async def sweep_leases(api: ObjectApi, *, unix_ms: int) -> int:
    """Delete leases that were last written long ago; return their number.

    No node contends for them any more, so no token can be handed out twice.
    """
    deleted = 0
    for key in (await api.list_keys(LEASES_PREFIX))[:MAX_DELETIONS]:
        stored = await api.read(key)
        if stored is not None and _is_abandoned(stored.value, unix_ms):
            deleted += await _delete_one(api, key, stored.revision)
    return deleted


def _is_abandoned(value: bytes, unix_ms: int) -> bool:
    try:
        document = msgspec.json.decode(value, type=LeaseDocument)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return document.written_unix_ms < unix_ms - ABANDONED_AFTER_MS


def find_unreferenced_parts(keys: tuple[str, ...], stored: StoredHead) -> list[str]:
    """Return the keys of parts to which neither this head nor a later one can refer."""
    referenced_keys = {part.key for part in stored.parts}
    end_key = f"{PARTS_PREFIX}{stored.head.version + 1:012d}/"
    return [key for key in keys if key < end_key and key not in referenced_keys]


async def _delete(api: ObjectApi, keys: list[str]) -> int:
    deleted = 0
    for key in keys:
        stored = await api.read(key)
        if stored is not None:
            deleted += await _delete_one(api, key, stored.revision)
    return deleted


async def _delete_one(api: ObjectApi, key: str, revision: int) -> int:
    try:
        await api.delete_if(key, expected_revision=revision)
    except CorianderwallError as error:
        if error.code is not ErrorCode.CONFLICT:
            raise
        return 0
    return 1
