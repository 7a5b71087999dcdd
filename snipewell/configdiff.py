"""Differences between two versions of a configuration, in the terms of its documents."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from .configcheck import BootFile, CatalogFile, SettingsFile, merge_specs
from .decoding import decode_json
from .manifest import Manifest
from .resource import Document, Kind, ServiceSpec

MAX_VALUE_CHARACTERS = 80
"""Longest text of a value in a line for the operator; a longer one is cut."""

Fields = Mapping[str, object]
Entries = Mapping[str, Fields]
"""Fields of each entry of a configuration, by the entry's path, such as ``routes/r-1``."""


class FieldChange(msgspec.Struct, frozen=True):
    """Values of one field before and after; None also stands for a field that isn't set."""

    field: str
    before: object
    after: object


class Change(msgspec.Struct, frozen=True, tag_field="type"):
    """Base class of the changes; ``touches`` are the services, jobs or daemons concerned."""

    entry: str
    touches: list[str]


class Added(Change, frozen=True, tag="added"):
    """An entry that isn't in force yet."""

    fields: Fields


class Removed(Change, frozen=True, tag="removed"):
    """An entry that is in force, but absent from the checked files."""


class Changed(Change, frozen=True, tag="changed"):
    """An entry of which some fields differ."""

    fields: list[FieldChange]


AnyChange = Added | Removed | Changed


def diff_entries(
    before: Entries, after: Entries, touches: Callable[[str], list[str]]
) -> list[AnyChange]:
    """Return the changes from ``before`` to ``after``, in the order of the entries' paths."""
    changes: list[AnyChange] = []
    for entry in sorted(before.keys() | after.keys()):
        if entry not in before:
            changes.append(Added(entry, touches(entry), after[entry]))
        elif entry not in after:
            changes.append(Removed(entry, touches(entry)))
        else:
            old, new = before[entry], after[entry]
            fields = [
                FieldChange(name, old.get(name), new.get(name))
                for name in sorted(old.keys() | new.keys())
                if (name in old) != (name in new) or old.get(name) != new.get(name)
            ]
            if fields:
                changes.append(Changed(entry, touches(entry), fields))
    return changes


def diff_manifest(manifest: Manifest, in_force: Sequence[Document]) -> list[AnyChange]:
    """Return the differences of declared resources from those in force.

    Kinds that the files don't mention are left out. An unstated ``in_service`` isn't a difference,
    because applying the files keeps the flag. Raises MessageError if a stored spec isn't an object.
    """
    after_specs = merge_specs(manifest, in_force)
    before: dict[str, Fields] = {}
    for document in in_force:
        if document.kind in manifest.kinds:
            entry = f"{document.kind.value}/{document.name}"
            before[entry] = decode_json(bytes(document.spec), dict[str, object])
    after: dict[str, Fields] = {}
    for declared in manifest.resources:
        spec = after_specs[declared.kind][declared.spec.name]
        after[f"{declared.kind.value}/{spec.name}"] = msgspec.to_builtins(spec)
    services = [s for s in after_specs[Kind.SERVICE].values() if isinstance(s, ServiceSpec)]

    def touches(entry: str) -> list[str]:
        kind, _, name = entry.partition("/")
        match Kind(kind):
            case Kind.SERVICE:
                return [f"jobs of service {name}"]
            case Kind.TEAM:
                return [f"jobs of client account {name}"]
            case Kind.ZONE:
                return _services(s.name for s in services if not s.zones or name in s.zones)
            case Kind.UPSTREAM:
                named = (s.name for s in services if not s.upstreams or name in s.upstreams)
                return _services(named)
        return ["all services"]

    return diff_entries(before, after, touches)


def documents_of(manifest: Manifest) -> list[Document]:
    """Return the resources of ``manifest`` as if they were stored."""
    return [
        Document(d.kind, d.spec.name, 1, 1, msgspec.Raw(msgspec.json.encode(d.spec)))
        for d in manifest.resources
    ]


def diff_catalog(before: CatalogFile, after: CatalogFile) -> list[AnyChange]:
    """Return the differences of two configurations of the users' platform.

    All fields are compared, also those that this version doesn't use.
    """
    queues = [*before.catalog.queues, *after.catalog.queues]

    def touches(entry: str) -> list[str]:
        key, _, name = entry.partition("/")
        if key == "routes":
            return _services(q.service for q in queues if q.name == name)
        if key == "services":
            return [
                f"jobs of route {n}" for n in _unique(q.name for q in queues if q.service == name)
            ]
        return ["all routes"] if key == "limits" else []

    return diff_entries(_flatten(before.document), _flatten(after.document), touches)


def diff_settings(before: SettingsFile, after: SettingsFile) -> list[AnyChange]:
    """Return the differences of the settings of two daemons of the same kind."""
    entry = f"{after.daemon} settings"
    return diff_entries(
        {entry: msgspec.to_builtins(before.settings)},
        {entry: msgspec.to_builtins(after.settings)},
        lambda _: [f"this {after.daemon}, after its restart"],
    )


def diff_boot(before: BootFile, after: BootFile) -> list[AnyChange]:
    """Return the differences of the settings of two daemons on the users' platform."""
    entry = "daemon settings"
    return diff_entries(
        {entry: before.fields},
        {entry: after.fields},
        lambda _: [f"daemon {after.settings.name}, after its restart"],
    )


def format_change(change: AnyChange) -> list[str]:
    """Return the lines for the operator on one change."""
    touched = f" (touches {', '.join(change.touches)})" if change.touches else ""
    match change:
        case Added(entry=entry, fields=fields):
            lines = [
                f"    {name}: {_format(value)}" for name, value in fields.items() if name != "name"
            ]
            return [f"added {entry}{touched}", *lines]
        case Removed(entry=entry):
            return [f"removed {entry}{touched}"]
        case Changed(entry=entry, fields=changed):
            lines = [
                f"    {c.field}: changed from {_format(c.before)} to {_format(c.after)}"
                for c in changed
            ]
            return [f"changed {entry}{touched}", *lines]


def _flatten(document: Mapping[str, object]) -> dict[str, Fields]:
    """Return the entries of a JSON document: elements of lists by name, objects and the rest.

    A list is kept as one value unless all its elements are objects with unique names.
    """
    entries: dict[str, Fields] = {}
    rest: dict[str, object] = {}
    for key, value in document.items():
        if isinstance(value, dict):
            entries[key] = value
        elif isinstance(value, list) and (named := _by_name(value)) is not None:
            entries |= {f"{key}/{name}": element for name, element in named.items()}
        else:
            rest[key] = value
    return entries | {"configuration": rest}


def _by_name(elements: Sequence[object]) -> dict[str, Fields] | None:
    named: dict[str, Fields] = {}
    for element in elements:
        name = element.get("name") if isinstance(element, dict) else None
        if not isinstance(element, dict) or not isinstance(name, str) or name in named:
            return None
        named[name] = element
    return named


def _unique(names: Iterable[str]) -> list[str]:
    return sorted(set(names))


def _services(names: Iterable[str]) -> list[str]:
    return [f"jobs of service {name}" for name in _unique(names)]


def _format(value: object) -> str:
    text = "not set" if value is None else msgspec.json.encode(value).decode()
    if len(text) > MAX_VALUE_CHARACTERS:
        return text[: MAX_VALUE_CHARACTERS - 3] + "..."
    return text
