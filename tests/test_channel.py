"""Guards against orders that are lost, doubled, reordered or revived by a lossy transport."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipewell.channel import MAX_UNACKED, RESEND_MS, Channel, ChannelFullError, Frame


def pair() -> tuple[Channel[str, int], Channel[int, str]]:
    return Channel("s1", 0.0), Channel("s1", 0.0)


@given(st.integers(0, 10_000), st.integers(1, 40))
def test_bodies_arrive_once_and_in_order_over_a_lossy_link(seed: int, count: int) -> None:
    """A reset connection loses frames, and a repetition may overtake: nothing is doubled."""
    rng = Random(seed)
    left, right = pair()
    received: list[str] = []
    flying: list[Frame[str]] = []
    now = 0.0
    for number in range(count):
        flying.append(left.send(f"order {number}", now))
    while len(received) < count:
        now += RESEND_MS
        rng.shuffle(flying)
        for frame in flying:
            if rng.random() < 0.6:
                received += right.receive(frame, now)
                if rng.random() < 0.3:
                    received += right.receive(frame, now)
        if rng.random() < 0.7:
            left.receive(right.send(None, now), now)
        flying = left.resend(now + RESEND_MS)
        now += RESEND_MS
    assert received == [f"order {number}" for number in range(count)]


def test_acknowledged_frames_are_not_repeated() -> None:
    left, right = pair()
    right.receive(left.send("a", 0.0), 1.0)
    left.receive(right.send(None, 1.0), 2.0)
    assert left.unacked == 0
    assert left.resend(1_000.0) == []


def test_a_frame_held_up_on_its_way_is_no_sign_of_life() -> None:
    """After a partition heals, old frames arrive at once; the silence must still count."""
    left, right = pair()
    right.receive(left.send(None, 0.0), 2.0)
    delayed = left.send(None, 100.0)
    right.receive(delayed, 5_000.0)
    assert 100.0 <= right.heard_ms <= 102.0


def test_a_receiver_that_was_suspended_does_not_take_fresh_frames_for_old() -> None:
    """A suspended VM's clock stands still, so later frames seem to come from the future."""
    left, right = pair()
    right.receive(left.send(None, 0.0), 2.0)
    right.receive(left.send(None, 4_000.0), 1_000.0)
    assert right.heard_ms == pytest.approx(1_000.0)


def test_the_first_frame_of_a_session_may_be_as_old_as_the_session() -> None:
    """An agent that was frozen right after it opened a session must not act on old orders."""
    left, right = Channel[str, int]("s1", 0.0), Channel[int, str]("s1", 100.0)
    frame = left.send("order", 50.0)
    assert right.age_ms(frame, 3_100.0) == 3_000.0
    right.receive(frame, 3_100.0)
    assert right.heard_ms == 100.0


def test_a_peer_that_acknowledges_nothing_does_not_grow_the_memory() -> None:
    left, _ = pair()
    for number in range(MAX_UNACKED):
        left.send(str(number), 0.0)
    with pytest.raises(ChannelFullError):
        left.send("one too many", 0.0)


def test_news_is_neither_numbered_nor_repeated_and_never_goes_back() -> None:
    """Guards against acknowledgements for every report, and against old news over newer."""
    left: Channel[str, str] = Channel("s", 0.0)
    right: Channel[str, str] = Channel("s", 0.0)
    first, second = left.send_unreliable("first", 1.0), left.send_unreliable("second", 2.0)
    assert left.unacked == 0
    assert right.receive(second, 3.0) == ["second"]
    assert right.receive(first, 3.0) == []
    assert not right.owes_ack
    assert right.receive(left.send("order", 4.0), 5.0) == ["order"]
    assert right.owes_ack
    right.send(None, 6.0)
    assert not right.owes_ack
