"""The configuration in force on one entry: revisions only rise, and nothing accepted reverts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import cast

import msgspec

from .effect import Effect, Note
from .group import (
    CONFIG_PREFIX,
    VOTERS_KEY,
    Group,
    Item,
    VoterSet,
    decode_group,
    encode_group,
    live_items,
    merge_reverted,
    parse_key,
)
from .ids import Revision, ServiceName, TeamName, UpstreamId, ZoneId
from .message import Snapshot
from .resource import (
    SPEC_TYPES,
    ConfigurationSpec,
    Kind,
    ServiceSpec,
    Spec,
    TeamSpec,
    UpstreamSpec,
    ZoneSpec,
)


class Configuration:
    """The values of ``config/`` with the highest revision seen, and what placement asks of them.

    Changes must be applied in the order of their revisions, as the store's watch returns them: the
    revision of the configuration says that no earlier change is missing. Values from another
    entry come as a whole snapshot. ``take_notes`` returns what the operators should know.
    """

    def __init__(self) -> None:
        self._revision = Revision(0)
        self._store_revision = Revision(0)
        self._lower_count = 0
        self._parts: dict[Kind, dict[int, Group]] = {kind: {} for kind in Kind}
        self._part_revisions: dict[str, Revision] = {}
        self._values: dict[str, bytes] = {}
        self._voters = VoterSet()
        self._specs: dict[Kind, dict[str, Spec]] = {kind: {} for kind in Kind}
        self._notes: list[Effect] = []

    @property
    def revision(self) -> Revision:
        """The highest revision applied; 0 before the first value."""
        return self._revision

    def apply(self, key: str, value: bytes, revision: Revision) -> bool:
        """Apply one change of a ``config/`` key; return whether it was newer than all seen.

        An empty ``value`` says that the key was deleted.
        """
        if not key.startswith(CONFIG_PREFIX) or revision <= self._revision:
            return False
        self._set(key, value, revision)
        self._revision = revision
        return True

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace all values by those of ``snapshot`` if it is newer; return whether it was."""
        if snapshot.revision <= self._revision:
            return False
        values = {k: v for k, v in snapshot.values.items() if k.startswith(CONFIG_PREFIX)}
        for key in self._values.keys() - values.keys():
            self._set(key, b"", snapshot.revision)
        for key, value in values.items():
            if self._values.get(key) != value:
                self._set(key, value, snapshot.revision)
        self._revision = snapshot.revision
        return True

    def observe_store(self, revision: Revision) -> None:
        """Take the store's own revision, and note when the store went back to an earlier one.

        One lower revision may be an answer that was overtaken by another; two in a row are not.
        """
        if revision >= self._store_revision:
            if self._lower_count > 1:
                self._note("the store has caught up", at=revision)
            self._lower_count = 0
            self._store_revision = revision
            return
        self._lower_count += 1
        if self._lower_count == 2:
            self._note(
                "ALARM the store went back to an earlier revision; what is in force stays",
                at=revision,
                seen=self._store_revision,
                in_force=self._revision,
            )

    @property
    def store_behind(self) -> bool:
        """Whether the store's revision is lower than one that it reported before."""
        return self._lower_count > 1

    def snapshot(self) -> Snapshot:
        """Return everything in force, for another entry."""
        return Snapshot(self._revision, dict(self._values))

    def take_notes(self) -> list[Effect]:
        """Return the notes since the last call."""
        notes, self._notes = self._notes, []
        return notes

    @property
    def voters(self) -> VoterSet:
        """The entries whose majority counts; none before the first set."""
        return self._voters

    def parts(self, kind: Kind) -> Mapping[int, Group]:
        """Return the stored parts of ``kind`` that are in force."""
        return self._parts[kind]

    def part_revision(self, key: str) -> Revision:
        """Return the revision at which the value of ``key`` came into force, or 0."""
        return self._part_revisions.get(key, Revision(0))

    def items(self, kind: Kind) -> dict[str, Item]:
        """Return the stored resources of ``kind`` that are in force, by name."""
        return live_items(self._parts[kind])

    def specs(self, kind: Kind) -> Mapping[str, Spec]:
        """Return the specs of ``kind`` that are in force, by name."""
        return self._specs[kind]

    def service(self, name: ServiceName) -> ServiceSpec | None:
        """Return the service ``name``, or None if no operator declared it."""
        return cast(ServiceSpec | None, self._specs[Kind.SERVICE].get(name))

    def team(self, name: TeamName) -> TeamSpec:
        """Return the team ``name``; a team without a resource has the default quota."""
        return cast(TeamSpec | None, self._specs[Kind.TEAM].get(name)) or TeamSpec(name=name)

    @property
    def settings(self) -> ConfigurationSpec:
        """The settings in force for the whole system."""
        found = self._specs[Kind.CONFIGURATION].get("default")
        return cast(ConfigurationSpec | None, found) or ConfigurationSpec()

    def zone_in_service(self, zone: ZoneId) -> bool:
        """Return whether operators declared ``zone`` and have it in service.

        A zone without a resource gets no work, so that deleting one never starts work there.
        """
        spec = cast(ZoneSpec | None, self._specs[Kind.ZONE].get(zone))
        return spec is not None and spec.in_service

    def accepts(self, zone: ZoneId, upstream: UpstreamId) -> bool:
        """Return whether work may start on ``upstream`` in ``zone``."""
        spec = cast(UpstreamSpec | None, self._specs[Kind.UPSTREAM].get(upstream))
        return self.zone_in_service(zone) and (spec is None or spec.in_service)

    def _set(self, key: str, value: bytes, revision: Revision) -> None:
        place = parse_key(key)
        if key == VOTERS_KEY:
            self._set_voters(value, revision)
            return
        if place is None:
            self._values[key] = value
            return
        kind, part = place
        try:
            group = decode_group(value)
        except msgspec.MsgspecError as error:
            self._note("ALARM a stored value is unreadable; the last one stays", key=key, why=error)
            return
        current = self._parts[kind].get(part)
        if current is not None and value and group.base < self._part_revisions[key]:
            merged = merge_reverted(current, group)
            if merged != group:
                self._note("ALARM a value was derived from an older one; kept newer items", key=key)
                group, value = merged, encode_group(merged)
        if value:
            self._values[key] = value
            self._part_revisions[key] = revision
            self._parts[kind][part] = group
        else:
            self._values.pop(key, None)
            self._part_revisions.pop(key, None)
            self._parts[kind].pop(part, None)
        self._specs[kind] = self._read_specs(kind)

    def _set_voters(self, value: bytes, revision: Revision) -> None:
        """Take a later set; one that a store lost or that is older leaves the last in force."""
        try:
            voters = msgspec.json.decode(value, type=VoterSet) if value else VoterSet()
        except msgspec.MsgspecError as error:
            self._note("ALARM the voters are unreadable; the last ones stay", why=error)
            return
        if voters.version <= self._voters.version:
            if voters != self._voters:
                self._note("ALARM the store has an older set of voters; the last one stays")
            return
        self._voters = voters
        self._values[VOTERS_KEY] = value
        self._part_revisions[VOTERS_KEY] = revision

    def _read_specs(self, kind: Kind) -> dict[str, Spec]:
        specs: dict[str, Spec] = {}
        for name, item in live_items(self._parts[kind]).items():
            try:
                specs[name] = msgspec.json.decode(item.spec, type=SPEC_TYPES[kind])
            except msgspec.MsgspecError as error:
                self._note(
                    "ALARM a resource is unreadable; the last one stays", name=name, why=error
                )
                if name in self._specs[kind]:
                    specs[name] = self._specs[kind][name]
        return specs

    def _note(self, text: str, **fields: object) -> None:
        self._notes.append(Note("configuration", text, fields))
