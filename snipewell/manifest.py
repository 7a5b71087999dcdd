"""Resource files kept in version control: reading a directory, and comparing it with what exists.

A file is JSON with comments: an object with lists of specs by kind, for example
``{"zones": [{"name": "zone-c"}], "teams": [{"name": "web", "weight": 2}]}``.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec
import pyjson5

from .resource import Document, Kind, Spec, SpecError, UpstreamSpec, ZoneSpec, parse_spec

ORDER = (Kind.CONFIGURATION, Kind.ZONE, Kind.UPSTREAM, Kind.TEAM, Kind.SERVICE)
"""Zones and teams come before the services that name them."""
SUFFIXES = (".json", ".json5", ".jsonc")
MAX_FILE_BYTES = 16 * 1024 * 1024


class ManifestError(Exception):
    """A resource file that cannot be used; the text names file, line, field and the reason."""

    def __init__(self, file: str, line: int | None, field: str, reason: str) -> None:
        place = f"{file}:{line}" if line is not None else file
        super().__init__(f"{place}: {field}: {reason}" if field else f"{place}: {reason}")
        self.file = file
        self.line = line
        self.field = field
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Entry:
    """One declared resource, where it is declared, and the fields that are stated there."""

    kind: Kind
    spec: Spec
    file: str
    line: int
    stated: frozenset[str]


@dataclass(frozen=True, slots=True)
class Manifest:
    """All declared resources, and the kinds that the files mention, even with an empty list."""

    entries: list[Entry]
    kinds: frozenset[Kind]


@dataclass(frozen=True, slots=True)
class Difference:
    """How one resource differs: ``spec`` is the wanted one, None to delete it.

    ``lines`` show each field that differs, ``version`` is the resource version compared with.
    """

    kind: Kind
    name: str
    action: str
    spec: Spec | None
    version: int
    lines: list[str]


def read_manifest(path: str | os.PathLike[str]) -> Manifest:
    """Read a file, or all resource files below a directory; raise ManifestError.

    Files that start with a dot, or whose name does not end in .json, .json5 or .jsonc, are left
    out. Declaring one resource twice is an error.
    """
    entries: list[Entry] = []
    kinds: set[Kind] = set()
    seen: dict[tuple[Kind, str], Entry] = {}
    for file in _find_files(Path(path)):
        for kind, found in _read_file(file):
            kinds.add(kind)
            for entry in found:
                other = seen.setdefault((kind, entry.spec.name), entry)
                if other is not entry:
                    place = f"{other.file}:{other.line}"
                    reason = f"expected once, {entry.spec.name!r} is also declared in {place}"
                    raise ManifestError(entry.file, entry.line, f"{kind.value}.name", reason)
                entries.append(entry)
    return Manifest(entries, frozenset(kinds))


def compare(manifest: Manifest, existing: Iterable[Document], prune: bool) -> Iterator[Difference]:
    """Return the differences, in the order in which they should be applied.

    Whether a zone or upstream is in service stays as it is unless the file states it: applying
    files must not bring back what operators took out. With ``prune``, resources that no file
    declares are deleted, but only of kinds that the files mention.
    """
    documents = {(document.kind, document.name): document for document in existing}
    for kind in ORDER:
        wanted = {entry.spec.name: entry for entry in manifest.entries if entry.kind is kind}
        for name, entry in sorted(wanted.items()):
            document, spec = documents.get((kind, name)), entry.spec
            if document is None:
                yield Difference(kind, name, "create", spec, 0, _show(spec))
                continue
            if isinstance(spec, ZoneSpec | UpstreamSpec) and "in_service" not in entry.stated:
                stored = msgspec.json.decode(document.spec, type=type(spec))
                spec = msgspec.structs.replace(spec, in_service=stored.in_service)
            if lines := _diff(document.spec, spec):
                yield Difference(kind, name, "update", spec, document.resource_version, lines)
        if prune and kind in manifest.kinds:
            for key, document in sorted(documents.items(), key=lambda pair: pair[0][1]):
                if key[0] is kind and key[1] not in wanted:
                    version = document.resource_version
                    lines = [f"- {k}: {_text(v)}" for k, v in _settled(document).items()]
                    yield Difference(kind, key[1], "delete", None, version, lines)


def _find_files(path: Path) -> list[Path]:
    if path.is_file():
        return [path]
    if not path.is_dir():
        raise ManifestError(str(path), None, "", "expected a file or a directory")
    files = [
        file
        for file in sorted(path.rglob("*"))
        if file.suffix in SUFFIXES and not file.name.startswith(".") and file.is_file()
    ]
    if not files:
        raise ManifestError(str(path), None, "", f"expected files that end in {SUFFIXES}")
    return files


def _read_file(path: Path) -> Iterator[tuple[Kind, list[Entry]]]:
    file = str(path)
    value, text = load_json(path)
    if not isinstance(value, dict):
        raise ManifestError(file, 1, "", "expected an object with lists of specs by kind")
    for name, specs in value.items():
        try:
            kind = Kind(name)
        except ValueError:
            known = ", ".join(kind.value for kind in Kind)
            line = _find(text, re.escape(name))
            raise ManifestError(file, line, name, f"expected one of {known}") from None
        if not isinstance(specs, list):
            raise ManifestError(file, _find(text, name), name, "expected a list of specs")
        entries: list[Entry] = []
        position = max(text.find(name), 0)
        for index, spec in enumerate(specs):
            position = _find_spec(text, spec, position)
            entries.append(_parse(file, text, kind, index, spec, position))
            position += 1
        yield kind, entries


def load_json(path: Path) -> tuple[object, str]:
    """Return the JSON with comments in the file ``path``, and its text; raise ManifestError."""
    file = str(path)
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise ManifestError(file, None, "", f"expected at most {MAX_FILE_BYTES} bytes")
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ManifestError(file, None, "", f"cannot be read: {error}") from None
    try:
        return pyjson5.decode(text), text
    except pyjson5.Json5DecoderException as error:
        position = re.search(r"near (\d+)", str(error))
        line = text.count("\n", 0, int(position[1])) + 1 if position else None
        reason = re.sub(r"\s*near \d+|b(?=')", "", str(error.args[0]))
        raise ManifestError(file, line, "", f"expected JSON with comments: {reason}") from None


def _parse(file: str, text: str, kind: Kind, index: int, value: object, position: int) -> Entry:
    line = text.count("\n", 0, position) + 1
    try:
        spec = parse_spec(kind, value)
    except SpecError as error:
        last = error.field.rpartition(".")[2]
        if last:
            line = _find(text, rf"\b{re.escape(last)}\b", position) or line
        field = f"{kind.value}[{index}].{error.field}".rstrip(".")
        raise ManifestError(file, line, field, error.reason) from None
    return Entry(kind, spec, file, line, frozenset(value if isinstance(value, dict) else ()))


def _find_spec(text: str, value: object, start: int) -> int:
    """Return where the spec with the name in ``value`` begins after ``start``, else ``start``."""
    name = value.get("name") if isinstance(value, dict) else None
    if not isinstance(name, str):
        return start
    match = re.compile(rf"[\"']{re.escape(name)}[\"']").search(text, start)
    return match.start() if match else start


def _find(text: str, pattern: str, start: int = 0) -> int | None:
    match = re.compile(pattern).search(text, start)
    return text.count("\n", 0, match.start()) + 1 if match else None


def _show(spec: Spec) -> list[str]:
    """Return the fields of ``spec`` that differ from the defaults."""
    values = msgspec.to_builtins(spec)
    defaults = msgspec.to_builtins(type(spec)(name=spec.name))  # type: ignore[arg-type]
    return [f"+ {k}: {_text(v)}" for k, v in values.items() if v != defaults[k]]


def _diff(stored: msgspec.Raw, wanted: Spec) -> list[str]:
    old = msgspec.json.decode(stored)
    new = msgspec.to_builtins(wanted)
    lines: list[str] = []
    for field in sorted(old.keys() | new.keys()):
        if field not in new:
            lines.append(f"- {field}: {_text(old[field])}")
        elif field not in old:
            lines.append(f"+ {field}: {_text(new[field])}")
        elif old[field] != new[field]:
            lines += [f"- {field}: {_text(old[field])}", f"+ {field}: {_text(new[field])}"]
    return lines


def _settled(document: Document) -> dict[str, object]:
    """Return what a deletion gives up besides the name: that it is out of service."""
    spec = msgspec.json.decode(document.spec)
    return {k: v for k, v in spec.items() if k == "in_service" and not v}


def _text(value: object) -> str:
    return msgspec.json.encode(value).decode()
