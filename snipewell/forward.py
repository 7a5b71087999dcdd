"""Requests that wait at this entry for another entry, and requests that others forwarded here.

An answer is matched by request id and key, so a late or crossed answer reaches nobody else.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .clock import Clock
from .effect import Effect, Note, Reply, SendEntry, Submission
from .ids import EntryId, RequestId, ScopedKey
from .message import Answer, CancelForward, Forward, PeerMessage
from .outcome import Step, Unknown

HomeOf = Callable[[ScopedKey], EntryId | None]

GRACE_MS = 500.0
"""A home answers at the deadline; this leaves the answer time to travel."""


@dataclass(slots=True)
class _Waiting:
    """One request that this entry sent to ``home``; ``submission`` is None for a cancel."""

    key: ScopedKey
    home: EntryId
    give_up_at_ms: float
    submission: Submission | None
    sent_before: bool = False


class Forwards:
    """The requests of this entry's callers whose home is another entry."""

    def __init__(self, entry: EntryId, clock: Clock) -> None:
        self._entry = entry
        self._clock = clock
        self._waiting: dict[RequestId, _Waiting] = {}
        self._origins: dict[RequestId, EntryId] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def submit(self, submission: Submission, home: EntryId) -> list[Effect]:
        """Send ``submission`` to its home."""
        waiting = _Waiting(submission.key, home, submission.deadline_at_ms + GRACE_MS, submission)
        self._waiting[submission.request] = waiting
        return [SendEntry(home, self._forward(submission))]

    def cancel(
        self, request: RequestId, key: ScopedKey, home: EntryId, limit_ms: float
    ) -> list[Effect]:
        """Ask ``home`` to cancel ``key``; give up after ``limit_ms``."""
        self._waiting[request] = _Waiting(key, home, self._clock.now_ms() + limit_ms, None)
        return [SendEntry(home, CancelForward(request, self._entry, key))]

    def drop(self, request: RequestId) -> None:
        """Forget a request whose caller went away; the work goes on at its home."""
        self._waiting.pop(request, None)

    def on_unsent(self, home: EntryId, message: PeerMessage) -> list[Effect]:
        """Answer the caller of a message that certainly did not leave this entry."""
        if not isinstance(message, Forward | CancelForward):
            return []
        waiting = self._waiting.get(message.request)
        if waiting is None or waiting.home != home:
            return []
        del self._waiting[message.request]
        started = waiting.sent_before or waiting.submission is None
        outcome = Unknown(Step.FORWARD, home, "the home entry cannot be reached", started)
        return [Reply(message.request, waiting.key, outcome)]

    def on_answer(self, sender: EntryId, answer: Answer) -> list[Effect]:
        """Give an answer to the caller that waits for it, or to nobody."""
        waiting = self._waiting.get(answer.request)
        if waiting is None or waiting.key != answer.key:
            fields: dict[str, object] = {"request": answer.request, "home": sender}
            return [Note("forward", "dropped an answer that nobody waits for", fields)]
        if waiting.home != sender and isinstance(answer.outcome, Unknown):
            # The former home stepped down; the present one will answer.
            return []
        del self._waiting[answer.request]
        return [Reply(answer.request, waiting.key, answer.outcome)]

    def on_homes_changed(self, home_of: HomeOf) -> tuple[list[Effect], list[Submission]]:
        """Send the requests of keys whose home changed to the new home.

        The new home joins them to the run that it recovered. Returns the effects, and the
        submissions whose home is now this entry.
        """
        effects: list[Effect] = []
        own: list[Submission] = []
        for request, waiting in list(self._waiting.items()):
            home = home_of(waiting.key)
            if home is None or home == waiting.home or waiting.submission is None:
                continue
            if home == self._entry:
                del self._waiting[request]
                own.append(waiting.submission)
                continue
            waiting.home, waiting.sent_before = home, True
            effects.append(SendEntry(home, self._forward(waiting.submission)))
        return effects, own

    def tick(self) -> list[Effect]:
        """Answer the callers whose home stayed silent."""
        now = self._clock.now_ms()
        late = [r for r, waiting in self._waiting.items() if now >= waiting.give_up_at_ms]
        effects: list[Effect] = []
        for request in late:
            waiting = self._waiting.pop(request)
            outcome = Unknown(Step.FORWARD, waiting.home, "the home entry did not answer in time")
            effects.append(Reply(request, waiting.key, outcome))
        return effects

    def note_origin(self, request: RequestId, entry: EntryId) -> None:
        """Remember that ``entry`` has the caller of ``request``, which it forwarded here."""
        self._origins[request] = entry

    def route(self, reply: Reply) -> Reply | SendEntry:
        """Return the way of ``reply`` to its caller: here, or at the entry that forwarded it."""
        origin = self._origins.pop(reply.request, None)
        if origin is None:
            return reply
        return SendEntry(origin, Answer(reply.request, reply.key, reply.outcome))

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
