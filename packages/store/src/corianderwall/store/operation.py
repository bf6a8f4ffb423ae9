"""Identifiers and summaries of operations."""

import re
from random import Random

import msgspec

from corianderwall.model.change import Change

_GENERATED_ID_PATTERN = re.compile(r"([0-9a-f]{12})-[0-9a-f]{16}")
MAX_SUMMARY_CHARACTERS = 240
"""Limit of a summary's length, as each head contains the summaries of its newest changes."""

_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")


def make_operation_id(unix_ms: int, random: Random) -> str:
    """Return an identifier that contains its creation time, which bounds later searches for it."""
    return f"{unix_ms:012x}-{random.getrandbits(64):016x}"


def parse_created_unix_ms(operation_id: str) -> int | None:
    """Return the creation time in the identifier, or None if it has another format."""
    match = _GENERATED_ID_PATTERN.fullmatch(operation_id)
    return int(match[1], 16) if match else None


def is_operation_id(text: str) -> bool:
    """Return whether the text is a valid identifier of an operation."""
    return _ID_PATTERN.fullmatch(text) is not None


def read_change_kind(change: Change) -> str:
    """Return the kind of a change as written in the audit trail."""
    return str(change.__struct_config__.tag)


def summarise_change(change: Change) -> str:
    """Return one line with the kind and the fields of a change."""
    fields = msgspec.to_builtins(change)
    field_texts = [
        f"{name}={_summarise_value(value)}" for name, value in fields.items() if name != "type"
    ]
    return " ".join([read_change_kind(change), *field_texts])[:MAX_SUMMARY_CHARACTERS]


def _summarise_value(value: object) -> str:
    if isinstance(value, dict):
        return str(value.get("name", "{...}"))
    return str(value)
