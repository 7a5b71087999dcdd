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
    Group,
    Item,
    decode_group,
    encode_group,
    live_items,
    parse_key,
    part_key,
    part_of,
    split_group,
)
from .ids import Revision
from .resource import Kind, Spec

_encoder = msgspec.json.Encoder(order="deterministic")


class State(Enum):
    """Result of one change."""

    CREATED = "created"
    UPDATED = "updated"
    DELETED = "deleted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    SKIPPED = "skipped"
    """Not applied, because another change of the same set conflicts."""


@dataclass(frozen=True, slots=True)
class Change:
    """A requested change of one resource: its new spec, or None to delete it.

    ``version`` is the resource version on which the operator based the change, 0 for a resource
    that must not exist, and None to write unconditionally.
    """

    name: str
    spec: Spec | None
    version: int | None = None


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a change.

    ``item`` is the resource after the change, or in a conflict the current one.
    """

    name: str
    state: State
    item: Item | None


@dataclass(frozen=True, slots=True)
class PartWrite:
    """One compare-and-swap in the store: write ``group`` to ``key`` if it is at ``if_revision``."""

    key: str
    if_revision: int
    group: Group


@dataclass(frozen=True, slots=True)
class Part:
    """A part of a kind: its content, its revision in the store, and the revision of the content.

    ``revision`` is 0 if the store does not have the part. ``base`` is higher than ``revision`` if
    the content is the one in force on this entry, because the store went back.
    """

    group: Group
    revision: int
    base: int


def collect_parts(
    kind: Kind, values: Mapping[str, tuple[int, bytes]], configuration: Configuration
) -> dict[int, Part]:
    """Return the parts of ``kind`` on which to base a write.

    ``values`` holds the revision and value of each key in the store. If this entry has the same or
    a later revision in force, its group is used, because the store may have gone back. Raises
    msgspec.MsgspecError if a value that is needed is unreadable.
    """
    parts: dict[int, Part] = {}
    for number, group in configuration.parts(kind).items():
        parts[number] = Part(group, 0, configuration.part_revision(part_key(kind, number)))
    for key, (revision, value) in values.items():
        location = parse_key(key)
        if location is None or location[0] is not kind:
            continue
        in_force = parts.get(location[1])
        if in_force is not None and in_force.base >= revision:
            parts[location[1]] = Part(in_force.group, revision, in_force.base)
        else:
            parts[location[1]] = Part(decode_group(value), revision, revision)
    return parts


class Plan:
    """Plan of the writes for sets of changes to one kind.

    Each set is applied as a whole or not at all. ``store_revision`` is the store's revision at
    which ``parts`` were read. ``verdicts`` holds one list of results for each set.
    """

    def __init__(self, kind: Kind, parts: Mapping[int, Part], store_revision: Revision) -> None:
        self._kind = kind
        self._parts = parts
        self._groups = {number: part.group for number, part in parts.items()}
        self._items = live_items(self._groups)
        self._version = store_revision + 1
        self._changed: set[int] = set()
        self.verdicts: list[list[Verdict]] = []

    def add(self, changes: Sequence[Change]) -> None:
        """Add one set of changes and append its results to ``verdicts``."""
        conflicts = [c.name for c in changes if self._has_conflict(c)]
        if not conflicts:
            self.verdicts.append([self._apply(change) for change in changes])
            return
        states = (State.CONFLICT if c.name in conflicts else State.SKIPPED for c in changes)
        pairs = zip(changes, states, strict=True)
        self.verdicts.append(
            [Verdict(c.name, state, self._items.get(c.name)) for c, state in pairs]
        )

    def writes(self) -> list[PartWrite]:
        """Return the writes in the required order: children before the part that is split."""
        part_writes: list[PartWrite] = []
        for number in sorted(self._changed):
            base = self._parts[number].base if number in self._parts else 0
            group = msgspec.structs.replace(self._groups[number], base=base)
            if len(encode_group(group)) > SPLIT_BYTES and number < 2 ** (MAX_DEPTH - 1):
                children = split_group(number, group, Revision(group.base))
                part_writes += [self._write(child, part) for child, part in children.items()]
                group = Group(base=group.base, split=True)
            part_writes.append(self._write(number, group))
        return part_writes

    def revision_of(self, changes: Sequence[Change]) -> Revision:
        """Return the highest revision in the store of the parts to which ``changes`` belong."""
        parts = (part_of(change.name, self._groups) for change in changes)
        return Revision(max((self._part_revision(part) for part in parts), default=0))

    def _part_revision(self, number: int) -> int:
        part = self._parts.get(number)
        return part.revision if part is not None else 0

    def _write(self, number: int, group: Group) -> PartWrite:
        return PartWrite(part_key(self._kind, number), self._part_revision(number), group)

    def _has_conflict(self, change: Change) -> bool:
        item = self._items.get(change.name)
        if change.version is None or change.version == (item.version if item else 0):
            return False
        # A change that was already applied and is submitted again is no conflict.
        return not self._is_applied(change, item)

    def _is_applied(self, change: Change, item: Item | None) -> bool:
        if change.spec is None or item is None:
            return change.spec is None and item is None
        return bytes(item.spec) == _encoder.encode(change.spec)

    def _apply(self, change: Change) -> Verdict:
        item = self._items.get(change.name)
        if self._is_applied(change, item):
            return Verdict(change.name, State.UNCHANGED, item)
        number = part_of(change.name, self._groups)
        items = dict(self._groups[number].items) if number in self._groups else {}
        state, stored = State.DELETED, None
        if change.spec is None:
            del items[change.name], self._items[change.name]
        else:
            generation = item.generation + 1 if item is not None else 1
            state = State.UPDATED if item is not None else State.CREATED
            stored = Item(msgspec.Raw(_encoder.encode(change.spec)), generation, self._version)
            items[change.name] = self._items[change.name] = stored
        self._groups[number] = Group(items=items)
        self._changed.add(number)
        return Verdict(change.name, state, stored)
