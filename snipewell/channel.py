"""Session between an agent and an entry: ordered, exactly-once frames over an unreliable transport.

Frames may be lost with their connection or arrive seconds late after a network partition. Each side
numbers its frames, acknowledges the frames of its peer, and retransmits unacknowledged ones. Only
frames with an unreliable message or with no message are unnumbered; they are sent once and may be
lost. A session ends for good when one side was silent for longer than the session timeout. Frames
of an ended session are ignored, so a delayed order can't start a task that its sender has given up.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import msgspec

Body = TypeVar("Body")
Out = TypeVar("Out")
In = TypeVar("In")

RESEND_MS = 300.0
"""Retransmission timeout. The peer acknowledges within a heartbeat interval of 200 ms, and frames
are lost only with their connection."""
FIRST_RESEND_MS = 30.0
"""Retransmission timeout of the first frame, which is lost if the connection is still being
opened."""
MAX_UNACKED = 5_000
"""Largest number of unacknowledged frames that a channel keeps for retransmission; far more than a
session has in flight."""


def name_session(incarnation: str, number: int) -> str:
    """Return the name of session ``number`` of one incarnation of the side that opens sessions."""
    return f"{incarnation}.{number}"


def session_number(session: str) -> int:
    """Return the number in the name of a session, or 0 if the name has none."""
    number = session.rpartition(".")[2]
    return int(number) if number.isascii() and number.isdigit() else 0


class ChannelFullError(Exception):
    """``MAX_UNACKED`` frames are unacknowledged, so the session should be ended."""


class Frame(msgspec.Struct, Generic[Body], array_like=True):
    """Transport unit of a session, with at most one message as its ``body``.

    ``number`` is 0 for a frame that is not acknowledged: one without a body or with an unreliable
    message. ``acked`` is the highest number received in order. ``sent_ms`` is the sender's
    monotonic clock.
    """

    session: str
    number: int
    acked: int
    sent_ms: float
    body: Body | None = None


class Channel(Generic[Out, In]):
    """One side of a session, which sends messages of type ``Out`` and receives ``In``.

    Times are monotonic milliseconds of this process.
    """

    def __init__(self, session: str, now_ms: float) -> None:
        self.session = session
        self.last_seen_ms = now_ms
        """Estimated time, on this side's clock, at which the newest received frame was sent."""
        self.sent_ms = now_ms
        """Time at which this side last sent a frame."""
        self._next_number = 1
        self._received = 0
        self._ack_sent = 0
        self._unreliable_sent_ms = float("-inf")
        self._unacked: deque[tuple[int, Out]] = deque()
        self._resend_at_ms = 0.0
        self._opened_ms = now_ms
        self._offset_ms: float | None = None
        """Smallest difference seen between this side's clock and ``sent_ms`` of a received frame.

        For the first frame, the time at which this side opened the session counts as well.
        """

    @property
    def unacked(self) -> int:
        """Number of sent frames that the peer hasn't acknowledged."""
        return len(self._unacked)

    def send(self, body: Out | None, now_ms: float) -> Frame[Out]:
        """Return a numbered frame with ``body``, or a pure acknowledgement if ``body`` is None."""
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
        """Return a frame that is neither acknowledged nor retransmitted.

        The receiver drops it if it has already received a later unreliable message.
        """
        self.sent_ms = now_ms
        self._ack_sent = self._received
        return Frame(self.session, 0, self._received, now_ms, body)

    @property
    def ack_pending(self) -> bool:
        """Whether this side has received frames that it hasn't acknowledged yet."""
        return self._ack_sent < self._received

    @property
    def is_established(self) -> bool:
        """Whether a frame of the peer has arrived in this session."""
        return self._offset_ms is not None

    def age_ms(self, frame: Frame[In], now_ms: float) -> float:
        """Return an upper bound of the time since ``frame`` was sent.

        On the side that opened the session, the peer's first frame answers the first one of this
        side, so no frame of the peer is older than the session.
        """
        if self._offset_ms is None:
            return now_ms - self._opened_ms
        return max(0.0, now_ms - frame.sent_ms - self._offset_ms)

    def receive(self, frame: Frame[In], now_ms: float) -> list[In]:
        """Process a frame of this session; return its body unless it is duplicate or premature."""
        if self._offset_ms is None:
            self._offset_ms = self._opened_ms - frame.sent_ms
        self._offset_ms = min(self._offset_ms, now_ms - frame.sent_ms)
        # A delayed frame proves only that the peer was alive when it was sent, not on its arrival.
        self.last_seen_ms = max(self.last_seen_ms, frame.sent_ms + self._offset_ms)
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
        """Return the unacknowledged frames if their retransmission is due."""
        if not self._unacked or now_ms < self._resend_at_ms:
            return []
        self._resend_at_ms = now_ms + RESEND_MS
        self.sent_ms = now_ms
        self._ack_sent = self._received
        return [
            Frame(self.session, number, self._received, now_ms, body)
            for number, body in self._unacked
        ]
