"""Plans of operators' writes: the stored parts to rewrite, and the result of each change."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

import msgspec

from .configuration import Configuration
from .group import (
    MAX_DEPTH,
    SPLIT_BYTES,
    PartContent,
    StoredResource,
    active_items,
    decode_part,
    encode_part,
    parse_key,
    part_key,
    part_of,
    split_part,
)
from .ids import Revision
from .resource import Kind, Spec

_encoder = msgspec.json.Encoder(order="deterministic")


class ChangeState(Enum):
    """Result of one change."""

    CREATED = "created"
    UPDATED = "updated"
    DELETED = "deleted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    SKIPPED = "skipped"
    """Not applied, because another change of the same set conflicts."""


@dataclass(frozen=True, slots=True)
class ResourceChange:
    """A requested change of one resource: its new spec, or None to delete it.

    ``version`` is the resource version on which the operator based the change, 0 for a resource
    that must not exist, and None to write unconditionally.
    """

    name: str
    spec: Spec | None
    version: int | None = None


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Result of a change.

    ``item`` is the resource after the change, or in a conflict the current one.
    """

    name: str
    state: ChangeState
    item: StoredResource | None


@dataclass(frozen=True, slots=True)
class PartWrite:
    """One compare-and-swap: write ``content`` to ``key`` if that is at ``if_revision``."""

    key: str
    if_revision: int
    content: PartContent


@dataclass(frozen=True, slots=True)
class StoredPart:
    """A part of a kind: its content, its revision in the store, and the revision of the content.

    ``revision`` is 0 if the store does not have the part. ``base`` is higher than ``revision`` if
    the content is the one applied on this entry, because the store was rolled back.
    """

    content: PartContent
    revision: int
    base: int


def collect_parts(
    kind: Kind, values: Mapping[str, tuple[int, bytes]], configuration: Configuration
) -> dict[int, StoredPart]:
    """Return the parts of ``kind`` on which to base a write.

    ``values`` holds the revision and value of each key in the store. If this entry has the same or
    a later revision applied, its content is used, because the store may have been rolled back.
    Raises MessageError if a value that is needed is unreadable.
    """
    parts: dict[int, StoredPart] = {}
    for number, content in configuration.parts(kind).items():
        parts[number] = StoredPart(content, 0, configuration.part_revision(part_key(kind, number)))
    for key, (revision, value) in values.items():
        location = parse_key(key)
        if location is None or location[0] is not kind:
            continue
        applied = parts.get(location[1])
        if applied is not None and applied.base >= revision:
            parts[location[1]] = StoredPart(applied.content, revision, applied.base)
        else:
            parts[location[1]] = StoredPart(decode_part(value), revision, revision)
    return parts


class WritePlan:
    """Plan of the writes for sets of changes to one kind.

    Each set is applied as a whole or not at all. ``store_revision`` is the store's revision at
    which ``parts`` were read. ``change_results`` holds one list of results for each set.
    """

    def __init__(
        self, kind: Kind, parts: Mapping[int, StoredPart], store_revision: Revision
    ) -> None:
        self._kind = kind
        self._parts = parts
        self._contents = {number: part.content for number, part in parts.items()}
        self._items = active_items(self._contents)
        self._version = store_revision + 1
        self._changed: set[int] = set()
        self.change_results: list[list[ChangeResult]] = []

    def add(self, changes: Sequence[ResourceChange]) -> None:
        """Add one set of changes and append its results to ``change_results``."""
        conflicts = [c.name for c in changes if self._has_conflict(c)]
        if not conflicts:
            self.change_results.append([self._apply(change) for change in changes])
            return
        states = (
            ChangeState.CONFLICT if c.name in conflicts else ChangeState.SKIPPED for c in changes
        )
        pairs = zip(changes, states, strict=True)
        self.change_results.append(
            [ChangeResult(c.name, state, self._items.get(c.name)) for c, state in pairs]
        )

    def writes(self) -> list[PartWrite]:
        """Return the writes in the required order: children before the part that is split."""
        part_writes: list[PartWrite] = []
        for number in sorted(self._changed):
            base = self._parts[number].base if number in self._parts else 0
            content = msgspec.structs.replace(self._contents[number], base=base)
            if len(encode_part(content)) > SPLIT_BYTES and number < 2 ** (MAX_DEPTH - 1):
                children = split_part(number, content, Revision(content.base))
                part_writes += [self._write(child, part) for child, part in children.items()]
                content = PartContent(base=content.base, split=True)
            part_writes.append(self._write(number, content))
        return part_writes

    def revision_of(self, changes: Sequence[ResourceChange]) -> Revision:
        """Return the highest revision in the store of the parts to which ``changes`` belong."""
        parts = (part_of(change.name, self._contents) for change in changes)
        return Revision(max((self._part_revision(part) for part in parts), default=0))

    def _part_revision(self, number: int) -> int:
        part = self._parts.get(number)
        return part.revision if part is not None else 0

    def _write(self, number: int, content: PartContent) -> PartWrite:
        return PartWrite(part_key(self._kind, number), self._part_revision(number), content)

    def _has_conflict(self, change: ResourceChange) -> bool:
        item = self._items.get(change.name)
        if change.version is None or change.version == (item.version if item else 0):
            return False
        # A change that was already applied and is submitted again is no conflict.
        return not self._is_applied(change, item)

    def _is_applied(self, change: ResourceChange, item: StoredResource | None) -> bool:
        if change.spec is None or item is None:
            return change.spec is None and item is None
        return bytes(item.spec) == _encoder.encode(change.spec)

    def _apply(self, change: ResourceChange) -> ChangeResult:
        item = self._items.get(change.name)
        if self._is_applied(change, item):
            return ChangeResult(change.name, ChangeState.UNCHANGED, item)
        number = part_of(change.name, self._contents)
        items = dict(self._contents[number].items) if number in self._contents else {}
        state, stored = ChangeState.DELETED, None
        if change.spec is None:
            del items[change.name], self._items[change.name]
        else:
            generation = item.generation + 1 if item is not None else 1
            state = ChangeState.UPDATED if item is not None else ChangeState.CREATED
            stored = StoredResource(
                msgspec.Raw(_encoder.encode(change.spec)), generation, self._version
            )
            items[change.name] = self._items[change.name] = stored
        self._contents[number] = PartContent(items=items)
        self._changed.add(number)
        return ChangeResult(change.name, state, stored)
