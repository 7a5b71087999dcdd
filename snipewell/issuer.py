"""The entry's side of permits: grants them on heartbeats, withdraws them when a zone leaves."""

from __future__ import annotations

from collections.abc import Iterable

from .configuration import Configuration
from .effect import Effect, Note, SendAgent
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

    def answer(self, beat: Heartbeat) -> list[Effect]:
        """Answer a heartbeat with a permit, or not at all while the configuration may be old."""
        if not self._freshness.is_fresh(self._configuration.revision):
            return []
        accepting = self._configuration.accepts(beat.zone, beat.upstream)
        self._accepting[beat.agent] = accepting
        return [SendAgent(beat.agent, self._permit(beat.sequence, accepting))]

    def withdraw(self, views: Iterable[AgentView]) -> list[Effect]:
        """Tell agents that no longer may start tasks, without waiting for their heartbeats."""
        effects: list[Effect] = []
        for view in views:
            accepting = self._configuration.accepts(view.zone, view.upstream)
            if self._accepting.get(view.agent) and not accepting:
                self._accepting[view.agent] = False
                fields: dict[str, object] = {"agent": view.agent, "zone": view.zone}
                effects.append(SendAgent(view.agent, self._permit(0, False)))
                effects.append(Note("zone", "withdrew a permit", fields))
        return effects

    def forget(self, agent: AgentId) -> None:
        """Forget an agent that is gone."""
        self._accepting.pop(agent, None)

    def _permit(self, sequence: int, accepting: bool) -> Permit:
        revision = self._configuration.revision
        return Permit(self._entry, sequence, revision, accepting, self._ttl_ms)
