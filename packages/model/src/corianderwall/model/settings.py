"""Typed settings from a TOML file, checked completely before anything starts."""

import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec.inspect import type_info

from corianderwall.model.endpoint import Address
from corianderwall.model.errors import CorianderwallError, ErrorCode


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """Base of a table of the settings file; each field carries its help line as description."""

    def find_contradictions(self) -> "Iterable[SettingProblem]":
        """Return a problem for each combination of keys that is not allowed."""
        return ()


@dataclass(frozen=True, slots=True)
class SettingProblem:
    """A key of the settings file with an invalid value, and the value expected there."""

    key: str
    expected: str

    def describe(self, path: str) -> str:
        """Return the problem as a line for the operator."""
        return f"{path}: {self.key}: {self.expected}"


class SettingsError(CorianderwallError):
    """A settings file is invalid; `problems` lists everything wrong with it."""

    def __init__(self, path: str, problems: Iterable[SettingProblem]) -> None:
        self.problems = tuple(problems)
        lines = "\n".join(problem.describe(path) for problem in self.problems)
        super().__init__(ErrorCode.INVALID_SETTINGS, f"the settings are not valid\n{lines}")


SectionTypes = Mapping[str, type[Section]]


def load_settings(path: str, sections: SectionTypes) -> dict[str, Section]:
    """Return the checked sections of the file, or raise `SettingsError` with all problems."""
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise SettingsError(path, [SettingProblem("-", f"a readable file: {error}")]) from error
    return parse_settings(data, path, sections)


def parse_settings(data: bytes, path: str, sections: SectionTypes) -> dict[str, Section]:
    """Return the checked sections in `data`; `path` only names the file in errors."""
    try:
        tables = tomllib.loads(data.decode("utf-8"))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError(path, [SettingProblem("-", f"valid TOML: {error}")]) from error
    problems: list[SettingProblem] = [
        SettingProblem(name, f"no such table; expected one of {', '.join(sections)}")
        for name in tables
        if name not in sections
    ]
    loaded: dict[str, Section] = {}
    for name, section in sections.items():
        _load_section(name, section, tables.get(name, {}), loaded, problems)
    if problems:
        raise SettingsError(path, problems)
    return loaded


def parse_address(text: str) -> Address:
    """Return the address in `HOST:PORT`, or raise `INVALID_SETTINGS`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise CorianderwallError(
            ErrorCode.INVALID_SETTINGS, f"expected HOST:PORT instead of {text!r}"
        )
    return Address(host=host, port=int(port))


def check_addresses(section: Section, keys: Iterable[str], table: str) -> Iterable[SettingProblem]:
    """Return a problem for each value of `keys` that is not `HOST:PORT`."""
    for key in keys:
        value = getattr(section, key)
        for text in (value,) if isinstance(value, str) else value:
            try:
                parse_address(text)
            except CorianderwallError as error:
                yield SettingProblem(f"{table}.{key}", error.sentence)


def _load_section(
    name: str,
    section: type[Section],
    table: Any,
    loaded: dict[str, Section],
    problems: list[SettingProblem],
) -> None:
    if not isinstance(table, dict):
        problems.append(SettingProblem(name, "expected a table"))
        return
    found = list(_check_keys(name, section, table))
    if not found:
        converted = msgspec.convert(table, section)
        found = list(converted.find_contradictions())
        loaded[name] = converted
    problems.extend(found)


def _check_keys(
    name: str, section: type[Section], table: dict[str, Any]
) -> Iterable[SettingProblem]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(section)}
    for key in table:
        if key not in fields:
            yield SettingProblem(f"{name}.{key}", f"no such key; expected {', '.join(fields)}")
    for key, field in fields.items():
        if key not in table:
            if field.required:
                yield SettingProblem(f"{name}.{key}", f"missing; expected {describe(field)}")
            continue
        try:
            msgspec.convert(table[key], field.type)
        except msgspec.ValidationError as error:
            yield SettingProblem(f"{name}.{key}", f"{error}; {describe(field)}")


def describe(field: msgspec.structs.FieldInfo) -> str:
    """Return the help line of a setting."""
    info = type_info(field.type)
    extra = getattr(info, "extra_json_schema", None) or {}
    return str(extra.get("description", field.name))
