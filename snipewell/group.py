"""Storage of the resources of a kind as a tree of numbered parts, each one JSON value.

Part 1 of a kind is stored under ``config/<kind>``, part ``n`` under ``config/<kind>/<n>``. A part
that would exceed ``SPLIT_BYTES`` is split: its items move to its children ``2n`` and ``2n + 1``,
chosen by the bits of a hash of the name, and the part itself keeps only the flag ``split``. Readers
ignore the children until the parent has that flag, so a split needs no atomic write of several
keys.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import xxhash

from .decoding import decode_with
from .ids import EntryId, Revision
from .resource import Kind

CONFIG_PREFIX = "config/"
VOTERS_KEY = "config/voters"
SPLIT_BYTES = 900_000
"""Below the 1 MB that the store accepts as one value, with a margin for its write token."""
MAX_DEPTH = 10
"""Bound on the levels of the tree of parts; writers number parts below ``2**MAX_DEPTH``."""


class StoredResource(msgspec.Struct, frozen=True):
    """A stored resource: its spec as JSON, its generation and its resource version.

    ``generation`` is incremented when the spec changes. ``version`` is one more than the store's
    revision that the writer had read, so it rises with every write and is never reused after a
    deletion.
    """

    spec: msgspec.Raw
    generation: int
    version: int


class PartContent(msgspec.Struct, frozen=True):
    """Content of one part of a kind: its items by name.

    ``base`` is the store's revision of the value from which the writer derived this one. A value
    whose base is older than the applied value was written after the store had been rolled back.
    """

    items: dict[str, StoredResource] = {}
    base: int = 0
    split: bool = False


class VoterSet(msgspec.Struct, frozen=True):
    """The voters: the entries whose majority is required, with their message addresses.

    ``version`` is incremented with each change, so that two sets with equal voters remain
    distinguishable.
    """

    version: int = 0
    voters: dict[EntryId, str] = {}

    def next_set(self, voters: dict[EntryId, str]) -> VoterSet:
        """Return the next set, with ``voters`` and the next version."""
        return VoterSet(self.version + 1, dict(sorted(voters.items())))


_STORE_NAMES = {kind: kind.value for kind in Kind} | {Kind.CONFIGURATION: "settings"}
_KINDS = {name: kind for kind, name in _STORE_NAMES.items()}
_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(PartContent)


def part_key(kind: Kind, part: int = 1) -> str:
    """Return the store key under which ``part`` of ``kind`` is stored."""
    root = CONFIG_PREFIX + _STORE_NAMES[kind]
    return root if part == 1 else f"{root}/{part}"


def parse_key(key: str) -> tuple[Kind, int] | None:
    """Return the kind and part stored under ``key``, or None if it stores no resources."""
    name, _, part = key.removeprefix(CONFIG_PREFIX).partition("/")
    kind = _KINDS.get(name)
    if kind is None or not key.startswith(CONFIG_PREFIX) or not (part or "1").isdecimal():
        return None
    return kind, int(part or "1")


def encode_part(content: PartContent) -> bytes:
    """Encode ``content`` as JSON with sorted keys, so that equal contents give equal bytes."""
    return _encoder.encode(content)


def decode_part(value: bytes) -> PartContent:
    """Decode the content of a part; an empty ``value`` gives an empty content.

    Raises MessageError if the value is not the content of a part.
    """
    return decode_with(lambda: _decoder.decode(value)) if value else PartContent()


def part_of(name: str, parts: Mapping[int, PartContent]) -> int:
    """Return the number of the part that stores ``name``, descending through split parts.

    Raises ValueError if ``MAX_DEPTH`` parts in a row are split.
    """
    bits = xxhash.xxh3_64_intdigest(name.encode())
    part = 1
    for depth in range(MAX_DEPTH):
        content = parts.get(part)
        if content is None or not content.split:
            return part
        part = 2 * part + (bits >> depth & 1)
    raise ValueError(f"parts of the group of {name!r} are split more than {MAX_DEPTH} times")


def active_items(parts: Mapping[int, PartContent]) -> dict[str, StoredResource]:
    """Return the items of a kind by name, from the parts reachable through split parents."""
    active: dict[str, StoredResource] = {}
    pending = [1]
    while pending:
        part = pending.pop()
        content = parts.get(part)
        if content is None:
            continue
        if content.split and part < 2**MAX_DEPTH:
            pending += [2 * part, 2 * part + 1]
        active.update(content.items)
    return active


def split_part(part: int, content: PartContent, revision: Revision) -> dict[int, PartContent]:
    """Return the two children that get the items of ``part``, with base ``revision``."""
    children: dict[int, dict[str, StoredResource]] = {2 * part: {}, 2 * part + 1: {}}
    for name, item in content.items.items():
        depth = part.bit_length() - 1
        bits = xxhash.xxh3_64_intdigest(name.encode())
        children[2 * part + (bits >> depth & 1)][name] = item
    return {number: PartContent(items=items, base=revision) for number, items in children.items()}


def merge_from_older_base(applied: PartContent, incoming: PartContent) -> PartContent:
    """Merge into ``applied`` the changes of ``incoming``, which has an older base.

    Only the changes that its writer made are applied: items newer than its base, and deletions of
    items that its base had. All other items stay as they are applied.
    """
    items = {
        name: item
        for name, item in applied.items.items()
        if name in incoming.items or item.version > incoming.base
    }
    items |= {n: item for n, item in incoming.items.items() if item.version > incoming.base}
    return PartContent(items=items, base=incoming.base, split=incoming.split)
