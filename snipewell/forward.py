"""Requests of local clients that wait for a partition leader, and origins of forwarded requests.

An answer is matched by request id and key, so a late or crossed answer cannot reach another client.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from .clock import Clock
from .effect import Effect, LogRecord, Reply, SendEntry, Submission
from .ids import EntryId, RequestId, ScopedKey
from .message import Answer, CancelForward, Forward, PeerMessage, Progress
from .outcome import Outcome, Step, Unknown

LeaderLookup = Callable[[ScopedKey], EntryId | None]

ANSWER_GRACE_MS = 500.0
"""Time after the deadline for the answer to arrive, as a leader answers at the deadline itself."""
MAX_SENDS = 4
"""Limit on the sends of one request: the leader may change while the request waits, but the request
must not circulate between leaders."""
ORIGIN_RETENTION_MS = 60_000.0
"""How long the origin of a request is retained after its deadline. A leader that stepped down
leaves the answer to its successor, and its own record of the origin is removed after this time."""


@dataclass(slots=True)
class _PendingRequest:
    """A local request that waits for ``leader``.

    ``submission`` is None for a cancellation or a progress request.
    """

    key: ScopedKey
    leader: EntryId
    expires_at_ms: float
    submission: Submission | None
    sends: int = 1


class RequestForwarder:
    """Tracks pending requests of local clients, and the origins of requests forwarded here."""

    def __init__(self, entry: EntryId, clock: Clock) -> None:
        self._entry = entry
        self._clock = clock
        self._pending: dict[RequestId, _PendingRequest] = {}
        self._origins: dict[RequestId, tuple[EntryId, float]] = {}
        self.entries: Collection[EntryId] = frozenset()

    def __len__(self) -> int:
        return len(self._pending)

    def submit(self, submission: Submission, leader: EntryId) -> list[Effect]:
        """Track a local submission, and forward it if its leader is another entry."""
        expires_at_ms = submission.deadline_at_ms + ANSWER_GRACE_MS
        pending = _PendingRequest(submission.key, leader, expires_at_ms, submission)
        self._pending[submission.request] = pending
        return [] if leader == self._entry else [SendEntry(leader, self._forward(submission))]

    def ask(
        self, message: CancelForward | Progress, leader: EntryId, limit_ms: float
    ) -> list[Effect]:
        """Send a cancellation or progress request to a leader; give up after ``limit_ms``."""
        expires_at_ms = self._clock.now_ms() + limit_ms
        self._pending[message.request] = _PendingRequest(message.key, leader, expires_at_ms, None)
        return [SendEntry(leader, message)]

    def drop(self, request: RequestId) -> None:
        """Drop a request that was answered otherwise, or whose client disconnected."""
        self._pending.pop(request, None)

    def on_unsent(self, leader: EntryId, message: PeerMessage) -> list[Effect]:
        """Answer the client of a message that was certainly not sent to ``leader``."""
        if not isinstance(message, Forward | CancelForward | Progress):
            return []
        pending = self._pending.get(message.request)
        if pending is None or pending.leader != leader:
            return []
        del self._pending[message.request]
        # The first send of a submission: nothing of this request has reached any leader. The
        # submission that is to be cancelled or queried was made before and may have started.
        may_have_started = pending.sends > 1 or pending.submission is None
        outcome = Unknown(
            Step.FORWARD, leader, "the home entry cannot be reached", may_have_started
        )
        return [Reply(message.request, pending.key, outcome)]

    def on_answer(self, sender: EntryId, answer: Answer) -> list[Effect]:
        """Pass an answer to the client whose request it matches, or drop it."""
        pending = self._pending.get(answer.request)
        if pending is None or pending.key != answer.key:
            fields: dict[str, object] = {"request": answer.request, "home": sender}
            return [LogRecord("edge", "dropped an answer without a matching request", fields)]
        if pending.leader != sender and isinstance(answer.outcome, Unknown):
            # The former leader stepped down; the current one will answer.
            return []
        return [self._answer_or_resend(answer.request, pending, answer.outcome)]

    def on_leaders_changed(self, leader_of: LeaderLookup) -> list[Effect]:
        """Resend the submissions whose leader changed to their new leaders.

        A new leader may be this entry. It joins them to the submission that it recovered.
        """
        effects: list[Effect] = []
        for pending in self._pending.values():
            leader = leader_of(pending.key)
            if leader is not None and leader != pending.leader and pending.submission is not None:
                effects.append(self._resend(pending, pending.submission, leader))
        return effects

    def tick(self) -> list[Effect]:
        """Answer the clients whose leader did not answer in time, and remove expired origins."""
        now = self._clock.now_ms()
        late = [r for r, pending in self._pending.items() if now >= pending.expires_at_ms]
        effects: list[Effect] = []
        for request in late:
            pending = self._pending.pop(request)
            outcome = Unknown(Step.FORWARD, pending.leader, "the home entry did not answer in time")
            effects.append(Reply(request, pending.key, outcome))
        for request, (_, until_ms) in list(self._origins.items()):
            if now < until_ms:
                break
            del self._origins[request]
        return effects

    def record_origin(self, request: RequestId, entry: EntryId, within_ms: float) -> None:
        """Record that ``entry`` forwarded ``request``, which is due within ``within_ms``."""
        until_ms = self._clock.now_ms() + within_ms + ORIGIN_RETENTION_MS
        self._origins[request] = (entry, until_ms)

    def route(self, reply: Reply) -> Reply | SendEntry:
        """Return the effect that passes ``reply`` to its client.

        That is an answer to the entry that forwarded the request, or a reply to a local client. A
        local request that was redirected to another entry is sent there instead.
        """
        origin = self._origins.pop(reply.request, None)
        if origin is not None:
            return SendEntry(origin[0], Answer(reply.request, reply.key, reply.outcome))
        pending = self._pending.get(reply.request)
        if pending is None or pending.key != reply.key:
            return reply
        return self._answer_or_resend(reply.request, pending, reply.outcome)

    def _answer_or_resend(
        self, request: RequestId, pending: _PendingRequest, outcome: Outcome
    ) -> Reply | SendEntry:
        """Answer a local request, or resend it if the outcome is a redirect to another entry."""
        if (
            isinstance(outcome, Unknown)
            and outcome.step in (Step.FORWARD, Step.RECOVERY)
            and outcome.peer != pending.leader
            and outcome.peer in self.entries
            and pending.submission is not None
            and pending.sends < MAX_SENDS
        ):
            return self._resend(pending, pending.submission, EntryId(outcome.peer))
        del self._pending[request]
        return Reply(request, pending.key, outcome)

    def _resend(
        self, pending: _PendingRequest, submission: Submission, leader: EntryId
    ) -> SendEntry:
        pending.leader = leader
        pending.sends += 1
        return SendEntry(leader, self._forward(submission))

    def _forward(self, submission: Submission) -> Forward:
        return Forward(
            submission.request,
            self._entry,
            submission.key,
            submission.digest,
            submission.service,
            submission.team,
            submission.tasks,
            max(0.0, submission.deadline_at_ms - self._clock.now_ms()),
            submission.job,
            submission.resources,
        )
