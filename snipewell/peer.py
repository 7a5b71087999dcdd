"""What this entry knows of the other entries: registrations, heartbeats, who is live."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from .clock import Clock
from .configuration import Configuration
from .effect import Effect, SendEntry
from .freshness import Freshness
from .ids import EntryId, Incarnation, Revision, ZoneId
from .message import PeerHeartbeat, PeerReply, Snapshot, SnapshotRequest

SNAPSHOT_INTERVAL_MS = 500.0
_SENT_KEPT = 16


class EntryRecord(msgspec.Struct, frozen=True):
    """An entry's registration in the store, under ``cluster/entries/<id>``."""

    entry: EntryId
    zone: ZoneId
    http_address: str
    message_address: str


@dataclass(slots=True)
class _Peer:
    zone: ZoneId
    registered: bool = True
    heard_at_ms: float = float("-inf")
    replaced_at_ms: float = 0.0
    revision: Revision = Revision(0)
    sent: dict[int, float] = field(default_factory=dict)


class Peers:
    """The entries that are registered in the store, and those that are only heard from.

    An entry is live while it is registered or heard from: a store that comes back after an outage
    without registrations does not make anyone take over from entries that still answer.
    """

    def __init__(
        self,
        record: EntryRecord,
        incarnation: Incarnation,
        clock: Clock,
        freshness: Freshness,
        configuration: Configuration,
        interval_ms: float,
        silent_ms: float,
    ) -> None:
        self._record = record
        self._incarnation = incarnation
        self._clock = clock
        self._freshness = freshness
        self._configuration = configuration
        self._interval_ms = interval_ms
        self._silent_ms = silent_ms
        self._peers: dict[EntryId, _Peer] = {}
        self._own_registered = False
        self._sequence = 0
        self._next_ms = clock.now_ms()
        self._snapshot_asked_ms = float("-inf")
        self.table_version = 0

    def set_registered(self, records: Mapping[EntryId, EntryRecord]) -> None:
        """Take the entries registered in the store, this one perhaps among them."""
        self._own_registered = self._record.entry in records
        now = self._clock.now_ms()
        for entry, peer in self._peers.items():
            peer.registered = entry in records
        for entry, record in records.items():
            if entry != self._record.entry and entry not in self._peers:
                self._peers[entry] = _Peer(record.zone, replaced_at_ms=now)
        self._freshness.keep(self._peers.keys())

    def live(self) -> dict[EntryId, ZoneId]:
        """Return the zone of each live entry; this one is live once it is registered."""
        now = self._clock.now_ms()
        gone = [
            entry
            for entry, peer in self._peers.items()
            if not peer.registered and now - peer.heard_at_ms > self._silent_ms
        ]
        for entry in gone:
            del self._peers[entry]
        live = {entry: peer.zone for entry, peer in self._peers.items()}
        if self._own_registered:
            live[self._record.entry] = self._record.zone
        return live

    def on_heard(self, entry: EntryId) -> None:
        """Record that a message came from ``entry``."""
        peer = self._peers.get(entry)
        if peer is not None:
            peer.heard_at_ms = self._clock.now_ms()

    def on_heartbeat(self, beat: PeerHeartbeat) -> list[Effect]:
        """Answer a heartbeat, and ask for a snapshot if the sender has a higher revision."""
        reply = PeerReply(
            self._record.entry,
            self._incarnation,
            beat.sequence,
            self._configuration.revision,
            self.table_version,
            self._store_age_ms(),
        )
        return [SendEntry(beat.entry, reply), *self._ask_snapshot(beat.entry, beat.revision)]

    def on_reply(self, reply: PeerReply) -> list[Effect]:
        """Take the answer to one of this entry's heartbeats."""
        peer = self._peers.get(reply.entry)
        sent_at_ms = peer.sent.pop(reply.sequence, None) if peer is not None else None
        if peer is None or sent_at_ms is None:
            return []
        peer.revision = max(peer.revision, reply.revision)
        self._freshness.on_peer(reply.entry, sent_at_ms, reply.revision)
        return self._ask_snapshot(reply.entry, reply.revision)

    def on_snapshot_request(self, request: SnapshotRequest) -> list[Effect]:
        """Send the configuration if this entry's is newer."""
        if self._configuration.revision <= request.have_revision:
            return []
        return [SendEntry(request.entry, self._configuration.snapshot())]

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Apply another entry's configuration; return whether it was newer."""
        return self._configuration.apply_snapshot(snapshot)

    def hasten(self) -> None:
        """Make the next heartbeat due now, because there is something new to tell."""
        self._next_ms = self._clock.now_ms()

    def tick(self) -> list[Effect]:
        """Send heartbeats when they are due."""
        now = self._clock.now_ms()
        if now < self._next_ms:
            return []
        self._next_ms = now + self._interval_ms
        self._sequence += 1
        beat = PeerHeartbeat(
            self._record.entry,
            self._incarnation,
            self._sequence,
            self._configuration.revision,
            self.table_version,
            self._store_age_ms(),
        )
        effects: list[Effect] = []
        for entry, peer in self._peers.items():
            peer.sent[self._sequence] = now
            if len(peer.sent) > _SENT_KEPT:
                del peer.sent[min(peer.sent)]
            effects.append(SendEntry(entry, beat))
        return effects

    def silent(self) -> list[EntryId]:
        """Return peers whose connection should be replaced because it went silent."""
        now = self._clock.now_ms()
        found = []
        for entry, peer in self._peers.items():
            if now - max(peer.heard_at_ms, peer.replaced_at_ms) > self._silent_ms:
                peer.replaced_at_ms = now
                found.append(entry)
        return found

    def _store_age_ms(self) -> float:
        # MessagePack carries infinity, but a reader would have to expect it.
        return min(self._freshness.store_age_ms(), 1e12)

    def _ask_snapshot(self, entry: EntryId, revision: Revision) -> list[Effect]:
        now = self._clock.now_ms()
        own = self._configuration.revision
        if revision <= own or now - self._snapshot_asked_ms < SNAPSHOT_INTERVAL_MS:
            return []
        self._snapshot_asked_ms = now
        return [SendEntry(entry, SnapshotRequest(self._record.entry, own))]
