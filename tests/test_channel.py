"""Guards against lost, duplicated, reordered or outdated messages on an unreliable transport."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipewell.channel import MAX_UNACKED, RESEND_MS, Channel, ChannelFullError, Frame


def make_pair() -> tuple[Channel[str, int], Channel[int, str]]:
    return Channel("s1", 0.0), Channel("s1", 0.0)


@given(st.integers(0, 10_000), st.integers(1, 40))
def test_bodies_arrive_once_and_in_order_over_an_unreliable_transport(
    seed: int, count: int
) -> None:
    """A reset connection loses frames, and retransmissions may overtake; nothing is duplicated."""
    rng = Random(seed)
    left, right = make_pair()
    received: list[str] = []
    in_flight: list[Frame[str]] = []
    now = 0.0
    for number in range(count):
        in_flight.append(left.send(f"order {number}", now))
    while len(received) < count:
        now += RESEND_MS
        rng.shuffle(in_flight)
        for frame in in_flight:
            if rng.random() < 0.6:
                received += right.receive(frame, now)
                if rng.random() < 0.3:
                    received += right.receive(frame, now)
        if rng.random() < 0.7:
            left.receive(right.send(None, now), now)
        in_flight = left.resend(now + RESEND_MS)
        now += RESEND_MS
    assert received == [f"order {number}" for number in range(count)]


def test_acknowledged_frames_are_not_retransmitted() -> None:
    left, right = make_pair()
    right.receive(left.send("a", 0.0), 1.0)
    left.receive(right.send(None, 1.0), 2.0)
    assert left.unacked == 0
    assert left.resend(1_000.0) == []


def test_a_delayed_frame_does_not_postpone_the_session_timeout() -> None:
    """When a network partition heals, delayed frames arrive at once; the peer may be gone."""
    left, right = make_pair()
    right.receive(left.send(None, 0.0), 2.0)
    delayed = left.send(None, 100.0)
    right.receive(delayed, 5_000.0)
    assert 100.0 <= right.last_seen_ms <= 102.0


def test_a_resumed_receiver_does_not_consider_recent_frames_old() -> None:
    """The clock of a suspended VM stops, so later frames appear to come from the future."""
    left, right = make_pair()
    right.receive(left.send(None, 0.0), 2.0)
    right.receive(left.send(None, 4_000.0), 1_000.0)
    assert right.last_seen_ms == pytest.approx(1_000.0)


def test_the_first_frame_is_assumed_to_be_as_old_as_the_session() -> None:
    """An agent that was suspended right after it opened a session must not execute old orders."""
    left, right = Channel[str, int]("s1", 0.0), Channel[int, str]("s1", 100.0)
    frame = left.send("order", 50.0)
    assert right.age_ms(frame, 3_100.0) == 3_000.0
    right.receive(frame, 3_100.0)
    assert right.last_seen_ms == 100.0


def test_unacknowledged_frames_are_bounded() -> None:
    left, _ = make_pair()
    for number in range(MAX_UNACKED):
        left.send(str(number), 0.0)
    with pytest.raises(ChannelFullError):
        left.send("one too many", 0.0)


def test_unreliable_messages_are_not_retransmitted_and_outdated_ones_are_dropped() -> None:
    """Reports cause no acknowledgements, and an outdated report doesn't replace a newer one."""
    left: Channel[str, str] = Channel("s", 0.0)
    right: Channel[str, str] = Channel("s", 0.0)
    first, second = left.send_unreliable("first", 1.0), left.send_unreliable("second", 2.0)
    assert left.unacked == 0
    assert right.receive(second, 3.0) == ["second"]
    assert right.receive(first, 3.0) == []
    assert not right.ack_pending
    assert right.receive(left.send("order", 4.0), 5.0) == ["order"]
    assert right.ack_pending
    right.send(None, 6.0)
    assert not right.ack_pending
