"""Resource files in version control: reads them and compares them with the stored resources.

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

APPLY_ORDER = (Kind.CONFIGURATION, Kind.ZONE, Kind.UPSTREAM, Kind.TEAM, Kind.SERVICE)
"""Order of kinds: zones and upstreams are written before the services that refer to them."""
SUFFIXES = (".json", ".json5", ".jsonc")
"""Suffixes by which resource files are recognized in a directory."""
MAX_FILE_BYTES = 16 * 1024 * 1024


class ManifestError(Exception):
    """Invalid resource file, job file or JSON file to check.

    The message states the file and the reason, and the line and the field if they are known.
    """

    def __init__(self, file: str, line: int | None, field: str, reason: str) -> None:
        location = f"{file}:{line}" if line is not None else file
        super().__init__(f"{location}: {field}: {reason}" if field else f"{location}: {reason}")
        self.file = file
        self.line = line
        self.field = field
        self.reason = reason


@dataclass(frozen=True, slots=True)
class DeclaredResource:
    """One declared resource with its source position and the fields set explicitly there."""

    kind: Kind
    spec: Spec
    file: str
    line: int
    explicit_fields: frozenset[str]


@dataclass(frozen=True, slots=True)
class Manifest:
    """All declared resources; ``kinds`` are those in the files, even with an empty list."""

    resources: list[DeclaredResource]
    kinds: frozenset[Kind]


@dataclass(frozen=True, slots=True)
class Difference:
    """Change of one resource to its declared state: ``spec`` is that state, None to delete it.

    ``lines`` is a diff by field, ``version`` the resource version that the diff is based on.
    """

    kind: Kind
    name: str
    action: str
    spec: Spec | None
    version: int
    lines: list[str]


def read_manifest(*paths: str | os.PathLike[str]) -> Manifest:
    """Read files, or all resource files below directories; raise ManifestError.

    In a directory, files whose name starts with a dot, or does not end in .json, .json5 or .jsonc,
    are skipped. Declaring one resource twice is an error.
    """
    resources: list[DeclaredResource] = []
    kinds: set[Kind] = set()
    seen: dict[tuple[Kind, str], DeclaredResource] = {}
    files = [file for path in paths for file in _find_files(Path(path))]
    for file in dict.fromkeys(files):
        for kind, declarations in _read_file(file):
            kinds.add(kind)
            for declared in declarations:
                earlier = seen.setdefault((kind, declared.spec.name), declared)
                if earlier is not declared:
                    location = f"{earlier.file}:{earlier.line}"
                    reason = f"expected once, {declared.spec.name!r} is also declared in {location}"
                    raise ManifestError(declared.file, declared.line, f"{kind.value}.name", reason)
                resources.append(declared)
    return Manifest(resources, frozenset(kinds))


def compare(manifest: Manifest, existing: Iterable[Document], prune: bool) -> Iterator[Difference]:
    """Yield the differences in the order in which they must be applied.

    The ``in_service`` flag of a zone or upstream is kept unless the file sets it: applying files
    must not bring back into service what operators took out. With ``prune``, undeclared resources
    are deleted, but only those of kinds that the files mention.
    """
    documents = {(document.kind, document.name): document for document in existing}
    for kind in APPLY_ORDER:
        wanted = {
            declared.spec.name: declared for declared in manifest.resources if declared.kind is kind
        }
        for name, declared in sorted(wanted.items()):
            document, spec = documents.get((kind, name)), declared.spec
            if document is None:
                yield Difference(kind, name, "create", spec, 0, _diff_from_defaults(spec))
                continue
            if (
                isinstance(spec, ZoneSpec | UpstreamSpec)
                and "in_service" not in declared.explicit_fields
            ):
                stored = msgspec.json.decode(document.spec, type=type(spec))
                spec = msgspec.structs.replace(spec, in_service=stored.in_service)
            if lines := _diff_fields(document.spec, spec):
                yield Difference(kind, name, "update", spec, document.resource_version, lines)
        if prune and kind in manifest.kinds:
            for key, document in sorted(documents.items(), key=lambda pair: pair[0][1]):
                if key[0] is kind and key[1] not in wanted:
                    version = document.resource_version
                    lines = [f"- {k}: {_to_json(v)}" for k, v in _lost_state(document).items()]
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


def _read_file(path: Path) -> Iterator[tuple[Kind, list[DeclaredResource]]]:
    file = str(path)
    value, text = load_json(path)
    if not isinstance(value, dict):
        raise ManifestError(file, 1, "", "expected an object with lists of specs by kind")
    for name, specs in value.items():
        try:
            kind = Kind(name)
        except ValueError:
            known = ", ".join(kind.value for kind in Kind)
            line = _find_line(text, re.escape(name))
            raise ManifestError(file, line, name, f"expected one of {known}") from None
        if not isinstance(specs, list):
            raise ManifestError(file, _find_line(text, name), name, "expected a list of specs")
        resources: list[DeclaredResource] = []
        position = max(text.find(name), 0)
        for index, spec in enumerate(specs):
            position = _find_spec_position(text, spec, position)
            resources.append(_parse_resource(file, text, kind, index, spec, position))
            position += 1
        yield kind, resources


def read_text(path: Path) -> str:
    """Return the text in ``path``; raise ManifestError.

    The size is bounded while reading, because that of a device or a pipe isn't known before.
    """
    file = str(path)
    try:
        with path.open("rb") as stream:
            data = stream.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise ManifestError(file, None, "", f"expected at most {MAX_FILE_BYTES} bytes")
        return data.decode("utf-8")
    except (OSError, ValueError) as error:
        raise ManifestError(file, None, "", f"cannot be read: {error}") from None


def load_json(path: Path) -> tuple[object, str]:
    """Return the decoded JSON with comments in ``path``, and its text; raise ManifestError."""
    text = read_text(path)
    return decode_json_text(str(path), text), text


def decode_json_text(file: str, text: str) -> object:
    """Return the decoded JSON with comments; raise ManifestError with the name ``file``."""
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        position = re.search(r"near (\d+)", str(error))
        line = text.count("\n", 0, int(position[1])) + 1 if position else None
        reason = re.sub(r"\s*near \d+|b(?=')", "", str(error.args[0]))
        raise ManifestError(file, line, "", f"expected JSON with comments: {reason}") from None


def _parse_resource(
    file: str, text: str, kind: Kind, index: int, value: object, position: int
) -> DeclaredResource:
    line = text.count("\n", 0, position) + 1
    try:
        spec = parse_spec(kind, value)
    except SpecError as error:
        last = error.field.rpartition(".")[2]
        if last:
            line = _find_line(text, rf"\b{re.escape(last)}\b", position) or line
        field = f"{kind.value}[{index}].{error.field}".rstrip(".")
        raise ManifestError(file, line, field, error.reason) from None
    return DeclaredResource(
        kind, spec, file, line, frozenset(value if isinstance(value, dict) else ())
    )


def _find_spec_position(text: str, value: object, start: int) -> int:
    """Return the position after ``start`` of the name of the spec ``value``, else ``start``."""
    name = value.get("name") if isinstance(value, dict) else None
    if not isinstance(name, str):
        return start
    match = re.compile(rf"[\"']{re.escape(name)}[\"']").search(text, start)
    return match.start() if match else start


def _find_line(text: str, pattern: str, start: int = 0) -> int | None:
    match = re.compile(pattern).search(text, start)
    return text.count("\n", 0, match.start()) + 1 if match else None


def _diff_from_defaults(spec: Spec) -> list[str]:
    """Return a diff line for each field of ``spec`` that differs from its default."""
    values = msgspec.to_builtins(spec)
    defaults = msgspec.to_builtins(type(spec)(name=spec.name))  # type: ignore[arg-type]
    return [f"+ {k}: {_to_json(v)}" for k, v in values.items() if v != defaults[k]]


def _diff_fields(stored: msgspec.Raw, wanted: Spec) -> list[str]:
    old = msgspec.json.decode(stored)
    new = msgspec.to_builtins(wanted)
    lines: list[str] = []
    for field in sorted(old.keys() | new.keys()):
        if field not in new:
            lines.append(f"- {field}: {_to_json(old[field])}")
        elif field not in old:
            lines.append(f"+ {field}: {_to_json(new[field])}")
        elif old[field] != new[field]:
            lines += [f"- {field}: {_to_json(old[field])}", f"+ {field}: {_to_json(new[field])}"]
    return lines


def _lost_state(document: Document) -> dict[str, object]:
    """Return the operator's state that a deletion loses: ``in_service``, if it is false."""
    spec = msgspec.json.decode(document.spec)
    return {k: v for k, v in spec.items() if k == "in_service" and not v}


def _to_json(value: object) -> str:
    return msgspec.json.encode(value).decode()
