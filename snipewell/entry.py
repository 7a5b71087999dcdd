"""The core of an entry: partition leadership, dispatching, membership, configuration, freshness.

The core does no I/O. The daemon passes events to it, carries out the effects that it returns, calls
``dispatch`` after every batch of events and ``tick`` at least every 20 ms.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import cast

from .clock import Clock
from .configuration import Configuration
from .dispatch import Dispatcher, DispatchLimits, Grant
from .effect import Effect, Enqueue, LogRecord, Reply, SendAgent, SendEntry, Submission, Withdraw
from .forward import RequestForwarder
from .freshness import Freshness
from .ids import (
    AgentId,
    EntryId,
    Incarnation,
    Partition,
    RequestId,
    Revision,
    ScopedKey,
    ZoneId,
)
from .issuer import PermitIssuer
from .membership import AgentsRemoved, HeartbeatAccepted, Membership, MembershipEvent
from .message import (
    Answer,
    CancelForward,
    Forward,
    Heartbeat,
    Load,
    MessageFromAgent,
    PeerHeartbeat,
    PeerMessage,
    PeerReply,
    Progress,
    ProgressReply,
    QueryReply,
    RefusalReason,
    Refused,
    Result,
    Snapshot,
    SnapshotRequest,
    Start,
    TicketRequest,
    Tickets,
)
from .outcome import Step, Unknown
from .partition import PartitionTable
from .partitionmanager import PartitionLimits, PartitionManager
from .peer import EntryRecord, Peers
from .placement import ExpectedFinish, Policy
from .resource import Kind, ServiceSpec, TeamSpec
from .retry import RetryBudgets
from .settings import EntrySettings
from .voters import VoterSetProposer

ENTRIES_PREFIX = "cluster/entries/"
TABLE_KEY = "cluster/partitions"
KEY_REQUEST_TIMEOUT_MS = 5_000.0
"""Timeout of a cancellation or progress request that is sent to the leader of its key."""


@dataclass(frozen=True, slots=True)
class LocalReply:
    """Pass ``message`` to the request of this entry's HTTP server that waits for it."""

    message: ProgressReply | Tickets


EntryEffect = Effect | LocalReply


class Entry:
    """Core of one entry: leads its own partitions and forwards requests to the other leaders."""

    def __init__(
        self,
        record: EntryRecord,
        incarnation: Incarnation,
        settings: EntrySettings,
        clock: Clock,
        rng: Random,
        policy: Policy | None = None,
    ) -> None:
        self.id = record.entry
        self.clock = clock
        self.configuration = Configuration()
        self.freshness = Freshness(self.id, clock, settings.freshness_ms)
        self.membership = Membership(clock, self.configuration.accepts)
        self.issuer = PermitIssuer(
            self.id, self.configuration, self.freshness, settings.permit_ttl_ms
        )
        self.peers = Peers(
            record,
            incarnation,
            clock,
            self.freshness,
            self.configuration,
            settings.peer_heartbeat_interval_ms,
            settings.peer_silent_ms,
        )
        self.voters = VoterSetProposer(record, clock, self.freshness, self.configuration)
        limits = PartitionLimits(
            partitions=settings.partitions, max_deadline_ms=settings.max_deadline_ms
        )
        self._retries = RetryBudgets(self.configuration.settings.retry_ratio)
        self.partition_manager = PartitionManager.create(
            self.id, record.zone, clock, rng, limits, budget=self._retries.take
        )
        self.dispatcher = Dispatcher(
            clock, rng, record.zone, policy or ExpectedFinish(), DispatchLimits()
        )
        self.forwarder = RequestForwarder(self.id, clock)
        self.entries: dict[EntryId, EntryRecord] = {}
        self.config_loaded = False
        self.table: PartitionTable | None = None
        self._partitions = settings.partitions
        self._live: frozenset[EntryId] = frozenset()

    def is_ready(self) -> bool:
        """Return whether submissions can be accepted.

        They can be once the configuration and the partition table are loaded.
        """
        return self.config_loaded and self.table is not None

    def on_submission(self, submission: Submission) -> list[EntryEffect]:
        """Process a submission of a local client; a ``Reply`` with its request id follows."""
        leader = self.partition_manager.leader_of(submission.key)
        if leader is None:
            return [Reply(submission.request, submission.key, _leader_unknown())]
        if leader != self.id:
            return self._apply_effects(self.forwarder.submit(submission, leader))
        self.forwarder.submit(submission, leader)
        return self._apply_effects(self._submit(submission))

    def on_cancel(self, request: RequestId, key: ScopedKey) -> list[EntryEffect]:
        """Cancel the submission of ``key`` for a local client; a ``Reply`` follows."""
        leader = self.partition_manager.leader_of(key)
        if leader is None:
            return [Reply(request, key, _leader_unknown())]
        if leader != self.id:
            cancel = CancelForward(request, self.id, key)
            return self._apply_effects(self.forwarder.ask(cancel, leader, KEY_REQUEST_TIMEOUT_MS))
        return self._apply_effects(self.partition_manager.cancel(request, key))

    def on_client_disconnect(self, request: RequestId) -> None:
        """Drop the pending request of a local client that disconnected; its submission goes on."""
        self.forwarder.drop(request)

    def on_progress(self, request: RequestId, key: ScopedKey) -> list[EntryEffect]:
        """Query the progress of ``key``; a ``Reply`` follows if it ended, else a ``LocalReply``."""
        leader = self.partition_manager.leader_of(key)
        message = Progress(request, self.id, key, False)
        if leader is not None and leader != self.id:
            return self._apply_effects(self.forwarder.ask(message, leader, KEY_REQUEST_TIMEOUT_MS))
        outcome = self.partition_manager.recorded_outcome(key)
        if outcome is not None:
            return [Reply(request, key, outcome)]
        return [LocalReply(self._progress(message))]

    def on_tickets(self, message: TicketRequest) -> list[EntryEffect]:
        """Issue tickets of a partition; a ``LocalReply`` with ``Tickets`` follows."""
        partitions = self.table.partitions if self.table is not None else ()
        leader = partitions[message.partition].leader if partitions else self.id
        if leader != self.id:
            return [SendEntry(leader, message)]
        return [LocalReply(self._tickets(message))]

    def on_agent_message(self, agent: AgentId, message: MessageFromAgent) -> list[EntryEffect]:
        """Process a message from an agent."""
        if isinstance(message, Heartbeat):
            return self._on_heartbeat(message)
        match message:
            case Result(key, task, state, _, _, elapsed_ms, load):
                self.dispatcher.on_result(agent, key, task, state, elapsed_ms, load)
            case Refused(key, task, reason, _, load):
                self.dispatcher.on_refused(agent, key, task, reason, load)
            case QueryReply(_, _, _, records):
                self.dispatcher.on_query_reply(agent, records)
        return self._apply_effects(self.partition_manager.on_agent_message(agent, message))

    def on_agent_unsent(self, agent: AgentId, message: object) -> list[EntryEffect]:
        """Handle a message that was certainly not sent to ``agent``.

        A start is treated as refused by a busy agent, because it certainly did not happen.
        """
        if not isinstance(message, Start):
            return []
        view = self.membership.view(agent)
        load = view.load if view is not None else Load()
        refused = Refused(
            message.key, message.task, RefusalReason.BUSY, message.epoch, load, message.attempt
        )
        return self.on_agent_message(agent, refused)

    def on_entry_message(self, sender: EntryId, message: PeerMessage) -> list[EntryEffect]:
        """Process a message from another entry."""
        self.peers.on_contact(sender)
        match message:
            case PeerHeartbeat():
                return self._apply_effects(self.peers.on_heartbeat(message))
            case PeerReply():
                return self._apply_effects(self.peers.on_reply(message))
            case SnapshotRequest():
                return self._apply_effects(self.peers.on_snapshot_request(message))
            case Snapshot():
                return self._on_config_changed() if self.peers.on_snapshot(message) else []
            case Forward():
                return self._apply_effects(self._on_forward(message))
            case Answer():
                return self._apply_effects(self.forwarder.on_answer(sender, message))
            case CancelForward(request, entry, key):
                self.forwarder.record_origin(request, entry, KEY_REQUEST_TIMEOUT_MS)
                return self._apply_effects(self.partition_manager.cancel(request, key))
            case Progress(request, entry, key):
                outcome = self.partition_manager.recorded_outcome(key)
                if outcome is not None:
                    return [SendEntry(entry, Answer(request, key, outcome))]
                return [SendEntry(entry, self._progress(message))]
            case TicketRequest():
                return [SendEntry(message.entry, self._tickets(message))]
            case ProgressReply() | Tickets():
                self.forwarder.drop(message.request)
                return [LocalReply(message)]
            case _:
                return self._apply_effects(self.partition_manager.on_entry_message(sender, message))

    def on_entry_unsent(self, entry: EntryId, message: object) -> list[EntryEffect]:
        """Handle a message that was not sent to ``entry``; local clients get an answer."""
        if isinstance(message, TicketRequest):
            return [LocalReply(Tickets(message.request, []))]
        return self._apply_effects(self.forwarder.on_unsent(entry, cast(PeerMessage, message)))

    def on_store_contact(self, sent_at_ms: float, revision: Revision) -> list[EntryEffect]:
        """Record that the store, at ``revision``, answered a request sent at ``sent_at_ms``."""
        self.freshness.on_store_contact(sent_at_ms)
        self.configuration.observe_store(revision)
        return list(self.configuration.take_log_records())

    def on_store_snapshot(self, snapshot: Snapshot) -> list[EntryEffect]:
        """Apply all keys below ``config/``, as the store holds them now."""
        self.config_loaded = True
        return self._on_config_changed() if self.configuration.apply_snapshot(snapshot) else []

    def on_store_config(self, changes: Iterable[tuple[str, bytes, Revision]]) -> list[EntryEffect]:
        """Apply changes below ``config/`` in the store's order; an empty value is a deletion."""
        changed = False
        for key, value, revision in changes:
            changed |= self.configuration.apply(key, value, revision)
        return self._on_config_changed() if changed else []

    def on_store_entries(self, entries: dict[EntryId, EntryRecord]) -> list[EntryEffect]:
        """Replace the set of registered entries."""
        self.entries = entries
        self.peers.set_registered(entries)
        return self._update_live_entries()

    def on_store_table(self, table: PartitionTable) -> list[EntryEffect]:
        """Apply the partition table that the store holds now, if its version is newer.

        A table whose number of partitions differs from the settings is not applied.
        """
        if self.table is not None and table.version <= self.table.version:
            return []
        if len(table.partitions) != self._partitions:
            fields: dict[str, object] = {"table": len(table.partitions), "own": self._partitions}
            return [LogRecord("home", "ALARM the table has another number of partitions", fields)]
        self.table = table
        self.peers.table_version = table.version
        effects = self._apply_effects(self.partition_manager.on_table(table))
        return effects + self._apply_effects(
            self.forwarder.on_leaders_changed(self.partition_manager.leader_of)
        )

    def own_partitions(self) -> list[Partition]:
        """Return the partitions of which this entry is the leader."""
        partitions = self.table.partitions if self.table is not None else ()
        return [Partition(number) for number, p in enumerate(partitions) if p.leader == self.id]

    def tick(self) -> list[EntryEffect]:
        """Run all periodic work that is due, then grant waiting tasks."""
        effects = self._apply_effects(self.peers.tick())
        effects += self._on_membership_events(self.membership.tick())
        effects += self._update_live_entries()
        if self.config_loaded:
            proposal = self.voters.tick(self.entries, self.peers.live().keys())
            effects += [proposal] if proposal is not None else []
        effects += self._apply_effects(self.partition_manager.tick())
        effects += self._apply_effects(self.forwarder.tick())
        return effects + self.dispatch()

    def dispatch(self) -> list[EntryEffect]:
        """Grant waiting tasks to agents; call it after every batch of events."""
        effects: list[EntryEffect] = []
        for grant in self.dispatcher.next_grants():
            effects += self._start(grant)
        return effects

    def drain(self) -> list[EntryEffect]:
        """Start to hand over all partitions to other entries."""
        return self._apply_effects(self.partition_manager.drain())

    def leave(self) -> None:
        """Leave the voter set, at the end of a graceful stop."""
        self.voters.leave()

    def _start(self, grant: Grant) -> list[EntryEffect]:
        start = self.partition_manager.grant(grant.key, grant.task, grant.agent, grant.incarnation)
        if start is None:
            self.dispatcher.on_grant_void(grant)
            return []
        fields: dict[str, object] = {
            "key": grant.key,
            "task": grant.task,
            "agent": grant.agent,
            "why": grant.reason,
        }
        return [SendAgent(grant.agent, start), LogRecord("place", "granted a task", fields)]

    def _submit(self, submission: Submission) -> list[Effect]:
        refusal = self.dispatcher.admit(submission)
        if refusal is not None:
            return self.partition_manager.refuse(submission, refusal)
        if submission.idempotent:
            self._retries.on_new_work(submission.service, len(submission.tasks))
        return self.partition_manager.submit(submission, self.dispatcher.candidates(submission))

    def _on_forward(self, forward: Forward) -> list[Effect]:
        self.forwarder.record_origin(forward.request, forward.entry, forward.deadline_ms)
        spec = self.configuration.service(forward.service)
        submission = Submission(
            forward.request,
            forward.entry,
            forward.key,
            forward.digest,
            forward.service,
            forward.team,
            forward.tasks,
            self.clock.now_ms() + forward.deadline_ms,
            forward.job,
            spec is not None and spec.idempotent,
            forward.resources,
        )
        return self._submit(submission)

    def _progress(self, message: Progress) -> ProgressReply:
        found = self.partition_manager.progress(message.key)
        if found is None:
            return ProgressReply(message.request, False, 0, 0)
        return ProgressReply(message.request, True, *found)

    def _tickets(self, message: TicketRequest) -> Tickets:
        keys = self.partition_manager.issue_tickets(message.partition, message.count)
        return Tickets(message.request, keys)

    def _on_heartbeat(self, heartbeat: Heartbeat) -> list[EntryEffect]:
        events = self.membership.on_heartbeat(heartbeat)
        effects = self._on_membership_events(events)
        if any(isinstance(event, HeartbeatAccepted) for event in events):
            effects += self.issuer.answer(heartbeat)
        return effects

    def _on_membership_events(self, events: list[MembershipEvent]) -> list[EntryEffect]:
        effects: list[EntryEffect] = []
        for event in events:
            match event:
                case HeartbeatAccepted(view, joined):
                    self.dispatcher.on_agent(view)
                    if joined:
                        fields: dict[str, object] = {"agent": view.agent, "zone": view.zone}
                        effects.append(LogRecord("membership", "agent joined", fields))
                case AgentsRemoved(agents, reason, zone, rack):
                    for agent, incarnation in ((a.agent, a.incarnation) for a in agents):
                        self.issuer.remove_agent(agent)
                        self.dispatcher.on_agent_gone(agent)
                        effects += self._apply_effects(
                            self.partition_manager.on_agent_gone(agent, incarnation)
                        )
                    names = [candidate.agent for candidate in agents]
                    fields = {"agents": names, "why": reason, "zone": zone, "rack": rack}
                    effects.append(LogRecord("membership", "agents gone", fields))
                case LogRecord():
                    effects.append(event)
        return effects

    def _on_config_changed(self) -> list[EntryEffect]:
        """Apply the changed configuration to all parts, and withdraw permits at once.

        Permits are not left to the next heartbeat, so that agents whose zone or upstream is out of
        service stop starting tasks without that delay.
        """
        configuration = self.configuration
        self.freshness.set_voters(configuration.voters.voters.keys())
        self.dispatcher.on_configuration(
            cast(Iterable[ServiceSpec], configuration.specs(Kind.SERVICE).values()),
            cast(Iterable[TeamSpec], configuration.specs(Kind.TEAM).values()),
            [ZoneId(name) for name in configuration.specs(Kind.ZONE)],
            configuration.settings,
        )
        self.peers.send_heartbeat_soon()
        self._retries.set_ratio(configuration.settings.retry_ratio)
        effects: list[EntryEffect] = list(configuration.take_log_records())
        fields: dict[str, object] = {"revision": configuration.revision}
        effects.append(LogRecord("zone", "configuration in force", fields))
        views = self.membership.agents()
        for view in views:
            self.dispatcher.on_agent(view)
        return effects + self._apply_effects(self.issuer.withdraw(views))

    def _update_live_entries(self) -> list[EntryEffect]:
        live = self.peers.live()
        if frozenset(live) == self._live:
            return []
        self._live = frozenset(live)
        self.forwarder.entries = self._live
        self.dispatcher.set_entry_count(len(live))
        fields: dict[str, object] = {"live": sorted(live)}
        return [
            LogRecord("membership", "set of live entries changed", fields),
            *self._apply_effects(self.partition_manager.on_entries(live)),
        ]

    def _apply_effects(self, effects: list[Effect]) -> list[EntryEffect]:
        """Pass ``Enqueue`` and ``Withdraw`` to the dispatcher, route replies; return the rest."""
        remaining: list[EntryEffect] = []
        for effect in effects:
            match effect:
                case Enqueue(tasks):
                    self.dispatcher.enqueue(tasks)
                case Withdraw(key):
                    self.dispatcher.withdraw(key)
                case Reply():
                    remaining.append(self.forwarder.route(effect))
                case _:
                    remaining.append(effect)
        return remaining


def _leader_unknown() -> Unknown:
    reason = "the partition table is not known yet"
    return Unknown(Step.FORWARD, "", reason, attempt_started=False)
