"""Liveness of the other entries, from their registrations and heartbeats."""

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
"""Shortest interval between requests for another entry's configuration."""
_MAX_SENT_HEARTBEATS = 16
"""Number of heartbeats to one peer whose send times are kept to match replies."""


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
    last_seen_ms: float = float("-inf")
    replaced_at_ms: float = 0.0
    revision: Revision = Revision(0)
    sent_times_ms: dict[int, float] = field(default_factory=dict)


class Peers:
    """The other entries that are registered in the store or still send messages.

    An entry is live while it is registered or its messages arrive. This keeps entries from taking
    over from others that still answer when the store returns from an outage without registrations.
    """

    def __init__(
        self,
        record: EntryRecord,
        incarnation: Incarnation,
        clock: Clock,
        freshness: Freshness,
        configuration: Configuration,
        interval_ms: float,
        timeout_ms: float,
    ) -> None:
        self._record = record
        self._incarnation = incarnation
        self._clock = clock
        self._freshness = freshness
        self._configuration = configuration
        self._interval_ms = interval_ms
        self._timeout_ms = timeout_ms
        self._peers: dict[EntryId, _Peer] = {}
        self._own_registered = False
        self._sequence = 0
        self._next_heartbeat_ms = clock.now_ms()
        self._snapshot_requested_ms = float("-inf")
        self.table_version = 0

    def set_registered(self, records: Mapping[EntryId, EntryRecord]) -> None:
        """Record the entries registered in the store, which may include this one."""
        self._own_registered = self._record.entry in records
        now = self._clock.now_ms()
        for entry, peer in self._peers.items():
            peer.registered = entry in records
        for entry, record in records.items():
            if entry != self._record.entry and entry not in self._peers:
                self._peers[entry] = _Peer(record.zone, replaced_at_ms=now)
        self._freshness.retain_peers(self._peers.keys())

    def live(self) -> dict[EntryId, ZoneId]:
        """Return the zone of each live entry; this one is live once it is registered."""
        now = self._clock.now_ms()
        expired = [
            entry
            for entry, peer in self._peers.items()
            if not peer.registered and now - peer.last_seen_ms > self._timeout_ms
        ]
        for entry in expired:
            del self._peers[entry]
        live = {entry: peer.zone for entry, peer in self._peers.items()}
        if self._own_registered:
            live[self._record.entry] = self._record.zone
        return live

    def on_contact(self, entry: EntryId) -> None:
        """Record that a message from ``entry`` arrived."""
        peer = self._peers.get(entry)
        if peer is not None:
            peer.last_seen_ms = self._clock.now_ms()

    def on_heartbeat(self, heartbeat: PeerHeartbeat) -> list[Effect]:
        """Reply to a heartbeat, and request a snapshot if the sender has a higher revision."""
        reply = PeerReply(
            self._record.entry,
            self._incarnation,
            heartbeat.sequence,
            self._configuration.revision,
            self.table_version,
            self._store_age_ms(),
        )
        return [
            SendEntry(heartbeat.entry, reply),
            *self._request_snapshot(heartbeat.entry, heartbeat.revision),
        ]

    def on_reply(self, reply: PeerReply) -> list[Effect]:
        """Process the reply to one of this entry's heartbeats."""
        peer = self._peers.get(reply.entry)
        sent_at_ms = peer.sent_times_ms.pop(reply.sequence, None) if peer is not None else None
        if peer is None or sent_at_ms is None:
            return []
        peer.revision = max(peer.revision, reply.revision)
        self._freshness.on_peer(reply.entry, sent_at_ms, reply.revision)
        return self._request_snapshot(reply.entry, reply.revision)

    def on_snapshot_request(self, request: SnapshotRequest) -> list[Effect]:
        """Send this entry's configuration if it is newer than the sender's."""
        if self._configuration.revision <= request.have_revision:
            return []
        return [SendEntry(request.entry, self._configuration.snapshot())]

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Apply another entry's configuration if it is newer; return whether it was."""
        return self._configuration.apply_snapshot(snapshot)

    def send_heartbeat_soon(self) -> None:
        """Make the next heartbeat due now, because it carries a new revision."""
        self._next_heartbeat_ms = self._clock.now_ms()

    def tick(self) -> list[Effect]:
        """Send heartbeats when they are due."""
        now = self._clock.now_ms()
        if now < self._next_heartbeat_ms:
            return []
        self._next_heartbeat_ms = now + self._interval_ms
        self._sequence += 1
        heartbeat = PeerHeartbeat(
            self._record.entry,
            self._incarnation,
            self._sequence,
            self._configuration.revision,
            self.table_version,
            self._store_age_ms(),
        )
        effects: list[Effect] = []
        for entry, peer in self._peers.items():
            peer.sent_times_ms[self._sequence] = now
            if len(peer.sent_times_ms) > _MAX_SENT_HEARTBEATS:
                del peer.sent_times_ms[min(peer.sent_times_ms)]
            effects.append(SendEntry(entry, heartbeat))
        return effects

    def take_timed_out(self) -> list[EntryId]:
        """Return the peers whose connection timed out and should be replaced.

        The timeout of each peer returned starts again.
        """
        now = self._clock.now_ms()
        timed_out = []
        for entry, peer in self._peers.items():
            if now - max(peer.last_seen_ms, peer.replaced_at_ms) > self._timeout_ms:
                peer.replaced_at_ms = now
                timed_out.append(entry)
        return timed_out

    def _store_age_ms(self) -> float:
        # MessagePack can encode infinity, but every reader would have to handle it.
        return min(self._freshness.store_age_ms(), 1e12)

    def _request_snapshot(self, entry: EntryId, revision: Revision) -> list[Effect]:
        now = self._clock.now_ms()
        own = self._configuration.revision
        if revision <= own or now - self._snapshot_requested_ms < SNAPSHOT_INTERVAL_MS:
            return []
        self._snapshot_requested_ms = now
        return [SendEntry(entry, SnapshotRequest(self._record.entry, own))]
