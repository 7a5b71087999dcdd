"""A session between an agent and an entry: ordered, exactly-once frames over a lossy transport.

Frames may be lost with their connection or arrive seconds late after a partition. Each side numbers
its frames, acknowledges the other's, and repeats what is not acknowledged. A session ends for good
when one side was silent for too long; frames of an ended session are ignored, so an order that
arrives late can't start work that its sender has given up.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import msgspec

Body = TypeVar("Body")
Out = TypeVar("Out")
In = TypeVar("In")

RESEND_MS = 300.0
"""Wait for an acknowledgement before frames are repeated. The other side sends one within a beat of
200 ms, and frames are lost with their connection alone."""
FIRST_RESEND_MS = 30.0
"""The same for the first frame, which is lost if the connection is still being opened."""
MAX_UNACKED = 5_000
"""Frames that a channel keeps for repetition; far more than a session has in flight."""


def name_session(incarnation: str, number: int) -> str:
    """Return the name of the ``number``-th session of one life of the side that opens them."""
    return f"{incarnation}.{number}"


def session_number(session: str) -> int:
    """Return the number in the name of a session, 0 if it has none."""
    number = session.rpartition(".")[2]
    return int(number) if number.isascii() and number.isdigit() else 0


class ChannelFullError(Exception):
    """The other side acknowledges nothing; the session should be given up."""


class Frame(msgspec.Struct, Generic[Body], array_like=True):
    """One message of a session.

    ``number`` is 0 for a frame without body or with mere news. ``acked`` is the highest number
    received in order. ``sent_ms`` is the sender's monotonic clock.
    """

    session: str
    number: int
    acked: int
    sent_ms: float
    body: Body | None = None


class Channel(Generic[Out, In]):
    """One side of a session, which sends ``Out`` and receives ``In``.

    Times are monotonic milliseconds of this process.
    """

    def __init__(self, session: str, now_ms: float) -> None:
        self.session = session
        self.heard_ms = now_ms
        """When the newest frame received was sent, as far as can be told on this side's clock."""
        self.sent_ms = now_ms
        """When this side last sent a frame."""
        self._next_number = 1
        self._received = 0
        self._ack_sent = 0
        self._unreliable_sent_ms = float("-inf")
        self._unacked: deque[tuple[int, Out]] = deque()
        self._resend_at_ms = 0.0
        self._opened_ms = now_ms
        self._offset_ms: float | None = None

    @property
    def unacked(self) -> int:
        """Number of frames that the other side hasn't acknowledged."""
        return len(self._unacked)

    def send(self, body: Out | None, now_ms: float) -> Frame[Out]:
        """Return the frame that carries ``body``, or an acknowledgement alone if it is None."""
        self.sent_ms = now_ms
        self._ack_sent = self._received
        if body is None:
            return Frame(self.session, 0, self._received, now_ms)
        if len(self._unacked) >= MAX_UNACKED:
            raise ChannelFullError(f"{MAX_UNACKED} frames without an acknowledgement")
        number = self._next_number
        self._next_number += 1
        if not self._unacked:
            self._resend_at_ms = now_ms + (RESEND_MS if number > 1 else FIRST_RESEND_MS)
        self._unacked.append((number, body))
        return Frame(self.session, number, self._received, now_ms, body)

    def send_unreliable(self, body: Out, now_ms: float) -> Frame[Out]:
        """Return a frame that is neither acknowledged nor repeated; later news replaces it."""
        self.sent_ms = now_ms
        self._ack_sent = self._received
        return Frame(self.session, 0, self._received, now_ms, body)

    @property
    def owes_ack(self) -> bool:
        """Whether the other side has sent frames that this one hasn't acknowledged."""
        return self._ack_sent < self._received

    @property
    def is_established(self) -> bool:
        """Whether a frame of the other side has arrived."""
        return self._offset_ms is not None

    def age_ms(self, frame: Frame[In], now_ms: float) -> float:
        """Return how long ago ``frame`` was sent at the most.

        The other side answers the first frame of a session, so nothing that it sends is older than
        the session.
        """
        if self._offset_ms is None:
            return now_ms - self._opened_ms
        return max(0.0, now_ms - frame.sent_ms - self._offset_ms)

    def receive(self, frame: Frame[In], now_ms: float) -> list[In]:
        """Take in a frame of this session; return its body unless it is a repetition or early."""
        if self._offset_ms is None:
            self._offset_ms = self._opened_ms - frame.sent_ms
        self._offset_ms = min(self._offset_ms, now_ms - frame.sent_ms)
        # A frame held up on its way doesn't count as a sign of life from now.
        self.heard_ms = max(self.heard_ms, frame.sent_ms + self._offset_ms)
        while self._unacked and self._unacked[0][0] <= frame.acked:
            self._unacked.popleft()
            self._resend_at_ms = now_ms + RESEND_MS
        if frame.body is None:
            return []
        if frame.number == 0:
            if frame.sent_ms < self._unreliable_sent_ms:
                return []
            self._unreliable_sent_ms = frame.sent_ms
            return [frame.body]
        if frame.number != self._received + 1:
            return []
        self._received += 1
        return [frame.body]

    def resend(self, now_ms: float) -> list[Frame[Out]]:
        """Return the frames to repeat now."""
        if not self._unacked or now_ms < self._resend_at_ms:
            return []
        self._resend_at_ms = now_ms + RESEND_MS
        self.sent_ms = now_ms
        self._ack_sent = self._received
        return [
            Frame(self.session, number, self._received, now_ms, body)
            for number, body in self._unacked
        ]
