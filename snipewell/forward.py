"""Requests of this entry's callers that wait for a home, and requests that others forwarded here.

An answer is matched by request id and key, so a late or crossed answer reaches nobody else.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from .clock import Clock
from .effect import Effect, Note, Reply, SendEntry, Submission
from .ids import EntryId, RequestId, ScopedKey
from .message import Answer, CancelForward, Forward, PeerMessage, Progress
from .outcome import Outcome, Step, Unknown

HomeOf = Callable[[ScopedKey], EntryId | None]

GRACE_MS = 500.0
"""A home answers at the deadline; this leaves the answer time to travel."""
MAX_SENDS = 4
"""Homes may change while a request waits, but a request must not circle between them."""
ORIGIN_KEPT_MS = 60_000.0
"""A home that stepped down lets its successor answer; its note of the origin goes after this."""


@dataclass(slots=True)
class _Waiting:
    """One local request that waits for ``home``; ``submission`` is None for a question."""

    key: ScopedKey
    home: EntryId
    give_up_at_ms: float
    submission: Submission | None
    sends: int = 1


class Forwards:
    """The waiting requests of local callers, and the origins of forwarded ones."""

    def __init__(self, entry: EntryId, clock: Clock) -> None:
        self._entry = entry
        self._clock = clock
        self._waiting: dict[RequestId, _Waiting] = {}
        self._origins: dict[RequestId, tuple[EntryId, float]] = {}
        self.entries: Collection[EntryId] = frozenset()

    def __len__(self) -> int:
        return len(self._waiting)

    def submit(self, submission: Submission, home: EntryId) -> list[Effect]:
        """Wait for the answer to a local submission, and send it if its home is another entry."""
        give_up_at_ms = submission.deadline_at_ms + GRACE_MS
        waiting = _Waiting(submission.key, home, give_up_at_ms, submission)
        self._waiting[submission.request] = waiting
        return [] if home == self._entry else [SendEntry(home, self._forward(submission))]

    def ask(
        self, message: CancelForward | Progress, home: EntryId, limit_ms: float
    ) -> list[Effect]:
        """Send a question about a key to its home; give up after ``limit_ms``."""
        give_up_at_ms = self._clock.now_ms() + limit_ms
        self._waiting[message.request] = _Waiting(message.key, home, give_up_at_ms, None)
        return [SendEntry(home, message)]

    def drop(self, request: RequestId) -> None:
        """Forget a request that was answered otherwise, or whose caller went away."""
        self._waiting.pop(request, None)

    def on_unsent(self, home: EntryId, message: PeerMessage) -> list[Effect]:
        """Answer the caller of a message that certainly did not leave this entry."""
        if not isinstance(message, Forward | CancelForward | Progress):
            return []
        waiting = self._waiting.get(message.request)
        if waiting is None or waiting.home != home:
            return []
        del self._waiting[message.request]
        # Without an earlier send, nothing of this attempt has reached any home.
        started = waiting.sends > 1 or waiting.submission is None
        outcome = Unknown(Step.FORWARD, home, "the home entry cannot be reached", started)
        return [Reply(message.request, waiting.key, outcome)]

    def on_answer(self, sender: EntryId, answer: Answer) -> list[Effect]:
        """Give an answer to the caller that waits for it, or to nobody."""
        waiting = self._waiting.get(answer.request)
        if waiting is None or waiting.key != answer.key:
            fields: dict[str, object] = {"request": answer.request, "home": sender}
            return [Note("edge", "dropped an answer that nobody waits for", fields)]
        if waiting.home != sender and isinstance(answer.outcome, Unknown):
            # The former home stepped down; the present one will answer.
            return []
        return [self._finish(answer.request, waiting, answer.outcome)]

    def on_homes_changed(self, home_of: HomeOf) -> list[Effect]:
        """Send the requests of keys whose home changed to the new home, perhaps this entry.

        The new home joins them to the run that it recovered.
        """
        effects: list[Effect] = []
        for waiting in self._waiting.values():
            home = home_of(waiting.key)
            if home is not None and home != waiting.home and waiting.submission is not None:
                effects.append(self._resend(waiting, waiting.submission, home))
        return effects

    def tick(self) -> list[Effect]:
        """Answer the callers whose home stayed silent."""
        now = self._clock.now_ms()
        late = [r for r, waiting in self._waiting.items() if now >= waiting.give_up_at_ms]
        effects: list[Effect] = []
        for request in late:
            waiting = self._waiting.pop(request)
            outcome = Unknown(Step.FORWARD, waiting.home, "the home entry did not answer in time")
            effects.append(Reply(request, waiting.key, outcome))
        for request, (_, until_ms) in list(self._origins.items()):
            if now < until_ms:
                break
            del self._origins[request]
        return effects

    def note_origin(self, request: RequestId, entry: EntryId, within_ms: float) -> None:
        """Remember that ``entry`` has the caller of ``request``, due ``within_ms``."""
        until_ms = self._clock.now_ms() + within_ms + ORIGIN_KEPT_MS
        self._origins[request] = (entry, until_ms)

    def route(self, reply: Reply) -> Reply | SendEntry:
        """Return the way of ``reply`` to its caller: here, or at the entry that forwarded it.

        A local request that its home passed on to another entry is sent there instead.
        """
        origin = self._origins.pop(reply.request, None)
        if origin is not None:
            return SendEntry(origin[0], Answer(reply.request, reply.key, reply.outcome))
        waiting = self._waiting.get(reply.request)
        if waiting is None or waiting.key != reply.key:
            return reply
        return self._finish(reply.request, waiting, reply.outcome)

    def _finish(self, request: RequestId, waiting: _Waiting, outcome: Outcome) -> Reply | SendEntry:
        """Answer a local request, or send it on if the home named its successor."""
        if (
            isinstance(outcome, Unknown)
            and outcome.step in (Step.FORWARD, Step.RECOVERY)
            and outcome.peer != waiting.home
            and outcome.peer in self.entries
            and waiting.submission is not None
            and waiting.sends < MAX_SENDS
        ):
            return self._resend(waiting, waiting.submission, EntryId(outcome.peer))
        del self._waiting[request]
        return Reply(request, waiting.key, outcome)

    def _resend(self, waiting: _Waiting, submission: Submission, home: EntryId) -> SendEntry:
        waiting.home = home
        waiting.sends += 1
        return SendEntry(home, self._forward(submission))

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
