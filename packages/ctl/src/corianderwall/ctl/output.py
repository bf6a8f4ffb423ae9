"""Output of the operators' client: tables for people, JSON for programs."""

import json
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any

import click
from google.protobuf import json_format

TABLE = "table"
JSON = "json"


def convert_to_json(message: Any) -> str:
    """Return a message as JSON, with the field names of the schema and default values."""
    return str(
        json_format.MessageToJson(
            message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
        )
    )


def format_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a left-aligned table with upper-case column names."""
    cells = [[name.upper() for name in columns]]
    cells.extend([str(value) for value in row] for row in rows)
    widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
    lines = (
        "  ".join(value.ljust(width) for value, width in zip(line, widths, strict=True)).rstrip()
        for line in cells
    )
    return "\n".join(lines)


def format_time(unix_ms: int) -> str:
    """Return a time in UTC to the second, or a dash if there is none."""
    if unix_ms <= 0:
        return "-"
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def print_rows(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a table."""
    click.echo(format_table(columns, rows))


def print_error(error: Any, output: str, operation_id: str) -> None:
    """Print an error to standard error, and how to query a change whose outcome is unknown."""
    if output == JSON:
        fields = {
            "code": error.code.value,
            "sentence": error.sentence,
            "effect": error.effect.value,
            "retry_after_s": error.retry_after_s,
            "operation_id": operation_id,
        }
        click.echo(json.dumps(fields), err=True)
        return
    click.echo(f"{error.code.value}: {error.sentence} (effect: {error.effect.value})", err=True)
    if operation_id and error.effect.value == "unknown":
        click.echo(f"ask later: corianderwall ctl operation {operation_id}", err=True)
