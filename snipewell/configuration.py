"""The configuration applied on one entry: its revision only rises, and no item reverts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import cast

from .decoding import decode_json
from .effect import Effect, LogRecord
from .errors import MessageError
from .group import (
    CONFIG_PREFIX,
    VOTERS_KEY,
    PartContent,
    StoredResource,
    VoterSet,
    active_items,
    decode_part,
    encode_part,
    merge_from_older_base,
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
    """The values under ``config/`` at the highest revision seen, decoded for placement.

    Changes must be applied in the order of their revisions, as the store's watch returns them: the
    revision of the configuration implies that no earlier change is missing. Values from another
    entry arrive as a whole snapshot. ``take_log_records`` returns log records for the operators.
    """

    def __init__(self) -> None:
        self._revision = Revision(0)
        self._store_revision = Revision(0)
        self._lower_revision_count = 0
        self._parts: dict[Kind, dict[int, PartContent]] = {kind: {} for kind in Kind}
        self._part_revisions: dict[str, Revision] = {}
        self._values: dict[str, bytes] = {}
        self._voters = VoterSet()
        self._specs: dict[Kind, dict[str, Spec]] = {kind: {} for kind in Kind}
        self._log_records: list[Effect] = []

    @property
    def revision(self) -> Revision:
        """The highest revision applied; 0 before the first value."""
        return self._revision

    def apply(self, key: str, value: bytes, revision: Revision) -> bool:
        """Apply one change of a ``config/`` key; return whether it was newer than all before.

        An empty ``value`` means that the key was deleted.
        """
        if not key.startswith(CONFIG_PREFIX) or revision <= self._revision:
            return False
        self._apply_value(key, value, revision)
        self._revision = revision
        return True

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace all values by those of ``snapshot`` if it is newer; return whether it was."""
        if snapshot.revision <= self._revision:
            return False
        values = {k: v for k, v in snapshot.values.items() if k.startswith(CONFIG_PREFIX)}
        for key in self._values.keys() - values.keys():
            self._apply_value(key, b"", snapshot.revision)
        for key, value in values.items():
            if self._values.get(key) != value:
                self._apply_value(key, value, snapshot.revision)
        self._revision = snapshot.revision
        return True

    def observe_store(self, revision: Revision) -> None:
        """Record the store's own revision, and log a store that was rolled back to an earlier one.

        A single lower revision may come from an answer that a later one overtook; two in a row mean
        that the store was rolled back.
        """
        if revision >= self._store_revision:
            if self._lower_revision_count > 1:
                self._log("the store has caught up", at=revision)
            self._lower_revision_count = 0
            self._store_revision = revision
            return
        self._lower_revision_count += 1
        if self._lower_revision_count == 2:
            self._log(
                "ALARM the store went back to an earlier revision; what is in force stays",
                at=revision,
                seen=self._store_revision,
                in_force=self._revision,
            )

    @property
    def store_behind(self) -> bool:
        """Whether the store's revision is lower than one that it reported before."""
        return self._lower_revision_count > 1

    def snapshot(self) -> Snapshot:
        """Return the revision and all applied values, for transfer to another entry."""
        return Snapshot(self._revision, dict(self._values))

    def take_log_records(self) -> list[Effect]:
        """Return the log records added since the last call."""
        log_records, self._log_records = self._log_records, []
        return log_records

    @property
    def voters(self) -> VoterSet:
        """The voter set applied on this entry; empty before the first one was stored."""
        return self._voters

    def parts(self, kind: Kind) -> Mapping[int, PartContent]:
        """Return the applied parts of ``kind``, by part number."""
        return self._parts[kind]

    def part_revision(self, key: str) -> Revision:
        """Return the revision at which the value of ``key`` was applied, or 0."""
        return self._part_revisions.get(key, Revision(0))

    def items(self, kind: Kind) -> dict[str, StoredResource]:
        """Return the applied resources of ``kind``, by name."""
        return active_items(self._parts[kind])

    def specs(self, kind: Kind) -> Mapping[str, Spec]:
        """Return the applied specs of ``kind``, by name."""
        return self._specs[kind]

    def service(self, name: ServiceName) -> ServiceSpec | None:
        """Return the service ``name``, or None if no operator declared it."""
        return cast(ServiceSpec | None, self._specs[Kind.SERVICE].get(name))

    def team(self, name: TeamName) -> TeamSpec:
        """Return the client account ``name``; one without a resource has the default quota."""
        return cast(TeamSpec | None, self._specs[Kind.TEAM].get(name)) or TeamSpec(name=name)

    @property
    def settings(self) -> ConfigurationSpec:
        """The settings of the whole system, as applied on this entry."""
        default_spec = self._specs[Kind.CONFIGURATION].get("default")
        return cast(ConfigurationSpec | None, default_spec) or ConfigurationSpec()

    def zone_in_service(self, zone: ZoneId) -> bool:
        """Return whether ``zone`` has a resource that is in service.

        A zone without a resource gets no tasks, so that deleting the resource never starts tasks
        there.
        """
        spec = cast(ZoneSpec | None, self._specs[Kind.ZONE].get(zone))
        return spec is not None and spec.in_service

    def accepts(self, zone: ZoneId, upstream: UpstreamId) -> bool:
        """Return whether tasks may start on ``upstream`` in ``zone``.

        An upstream without a resource is in service.
        """
        spec = cast(UpstreamSpec | None, self._specs[Kind.UPSTREAM].get(upstream))
        return self.zone_in_service(zone) and (spec is None or spec.in_service)

    def _apply_value(self, key: str, value: bytes, revision: Revision) -> None:
        location = parse_key(key)
        if key == VOTERS_KEY:
            self._apply_voters(value, revision)
            return
        if location is None:
            self._values[key] = value
            return
        kind, part = location
        try:
            content = decode_part(value)
        except MessageError as error:
            self._log("ALARM a stored value is unreadable; the last one stays", key=key, why=error)
            return
        current = self._parts[kind].get(part)
        if current is not None and value and content.base < self._part_revisions[key]:
            merged = merge_from_older_base(current, content)
            if merged != content:
                self._log(
                    "ALARM a value was derived from an older one; kept newer items",
                    key=key,
                )
                content, value = merged, encode_part(merged)
        if value:
            self._values[key] = value
            self._part_revisions[key] = revision
            self._parts[kind][part] = content
        else:
            self._values.pop(key, None)
            self._part_revisions.pop(key, None)
            self._parts[kind].pop(part, None)
        self._specs[kind] = self._decode_specs(kind)

    def _apply_voters(self, value: bytes, revision: Revision) -> None:
        """Apply a voter set with a higher version.

        If the store lost the value or has an older set, the last set stays applied.
        """
        try:
            voters = decode_json(value, VoterSet) if value else VoterSet()
        except MessageError as error:
            self._log("ALARM the voters are unreadable; the last ones stay", why=error)
            return
        if voters.version <= self._voters.version:
            if voters != self._voters:
                self._log("ALARM the store has an older set of voters; the last one stays")
            return
        self._voters = voters
        self._values[VOTERS_KEY] = value
        self._part_revisions[VOTERS_KEY] = revision

    def _decode_specs(self, kind: Kind) -> dict[str, Spec]:
        specs: dict[str, Spec] = {}
        for name, item in active_items(self._parts[kind]).items():
            try:
                specs[name] = decode_json(item.spec, SPEC_TYPES[kind])
            except MessageError as error:
                self._log(
                    "ALARM a resource is unreadable; the last one stays", name=name, why=error
                )
                if name in self._specs[kind]:
                    specs[name] = self._specs[kind][name]
        return specs

    def _log(self, text: str, **fields: object) -> None:
        self._log_records.append(LogRecord("configuration", text, fields))
