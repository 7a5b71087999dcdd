"""Permits of an entry: issued on heartbeats, withdrawn if a zone or upstream is out of service."""

from __future__ import annotations

from collections.abc import Iterable

from .configuration import Configuration
from .effect import Effect, LogRecord, SendAgent
from .freshness import Freshness
from .ids import AgentId, EntryId
from .message import Heartbeat, Permit
from .view import AgentView


class PermitIssuer:
    """Issues the permits of one entry, valid for ``ttl_ms`` from the agent's heartbeat."""

    def __init__(
        self, entry: EntryId, configuration: Configuration, freshness: Freshness, ttl_ms: int
    ) -> None:
        self._entry = entry
        self._configuration = configuration
        self._freshness = freshness
        self._ttl_ms = ttl_ms
        self._accepting: dict[AgentId, bool] = {}

    def answer(self, heartbeat: Heartbeat) -> list[Effect]:
        """Answer a heartbeat with a permit, or not at all while the configuration may be stale."""
        if not self._freshness.is_fresh(self._configuration.revision):
            return []
        accepting = self._configuration.accepts(heartbeat.zone, heartbeat.upstream)
        self._accepting[heartbeat.agent] = accepting
        return [SendAgent(heartbeat.agent, self._permit(heartbeat.sequence, accepting))]

    def withdraw(self, views: Iterable[AgentView]) -> list[Effect]:
        """Withdraw the permits of agents that must not start tasks any more.

        The withdrawals are sent at once, without waiting for the agents' heartbeats.
        """
        effects: list[Effect] = []
        for view in views:
            accepting = self._configuration.accepts(view.zone, view.upstream)
            if self._accepting.get(view.agent) and not accepting:
                self._accepting[view.agent] = False
                fields: dict[str, object] = {"agent": view.agent, "zone": view.zone}
                effects.append(SendAgent(view.agent, self._permit(0, False)))
                effects.append(LogRecord("zone", "permit withdrawn", fields))
        return effects

    def remove_agent(self, agent: AgentId) -> None:
        """Remove the state of an agent that has left the cluster."""
        self._accepting.pop(agent, None)

    def _permit(self, sequence: int, accepting: bool) -> Permit:
        revision = self._configuration.revision
        return Permit(self._entry, sequence, revision, accepting, self._ttl_ms)
