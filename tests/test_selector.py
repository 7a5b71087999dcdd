"""Guards against lost wake-ups in `LazySelector`: descriptors that are reused, closed or idle."""

from __future__ import annotations

import socket
from selectors import EVENT_READ, EVENT_WRITE

import curio
import pytest

from snipewell.selector import MAX_SKIPPED_POLLS, LazySelector


class Handle:
    """A file object that is distinct for each socket, like those that curio registers."""

    def __init__(self, sock: socket.socket) -> None:
        self.descriptor = sock.fileno()

    def fileno(self) -> int:
        return self.descriptor


def poll(selector: LazySelector) -> list[object]:
    """Return the ready files, whether or not the next polls would be skipped."""
    return [key.fileobj for key, _ in selector.select(0.001)]


def test_polls_without_a_wait_are_skipped_only_a_few_times() -> None:
    selector = LazySelector()
    reader, writer = socket.socketpair()
    handle = Handle(reader)
    selector.register(handle, EVENT_READ)
    writer.send(b"x")
    results = [selector.select(0) for _ in range(MAX_SKIPPED_POLLS + 1)]
    assert results[:-1] == [[]] * MAX_SKIPPED_POLLS
    assert results[-1][0][0].fileobj is handle
    selector.close()


def test_a_socket_that_is_registered_again_is_reported() -> None:
    selector = LazySelector()
    reader, writer = socket.socketpair()
    handle = Handle(reader)
    for _ in range(3):
        selector.register(handle, EVENT_READ)
        assert poll(selector) == []
        writer.send(b"x")
        assert poll(selector) == [handle]
        reader.recv(1)
        selector.unregister(handle)
    selector.close()


def test_a_new_socket_with_the_descriptor_of_a_closed_one_is_reported() -> None:
    selector = LazySelector()
    reader, _writer = socket.socketpair()
    old = Handle(reader)
    selector.register(old, EVENT_READ)
    selector.unregister(old)
    descriptor = reader.fileno()
    reader.close()
    reader, writer = socket.socketpair()
    assert reader.fileno() == descriptor
    handle = Handle(reader)
    selector.register(handle, EVENT_READ)
    writer.send(b"x")
    assert poll(selector) == [handle]
    selector.close()


def test_data_for_an_unregistered_socket_does_not_keep_the_process_busy() -> None:
    selector = LazySelector()
    reader, writer = socket.socketpair()
    handle = Handle(reader)
    selector.register(handle, EVENT_READ)
    selector.unregister(handle)
    writer.send(b"x")
    assert poll(selector) == []
    assert reader.fileno() not in selector._watched
    selector.register(handle, EVENT_READ)
    assert poll(selector) == [handle]
    selector.close()


def test_changed_events_of_a_kept_socket_are_reported() -> None:
    selector = LazySelector()
    reader, writer = socket.socketpair()
    handle = Handle(reader)
    selector.register(handle, EVENT_READ)
    selector.unregister(handle)
    selector.register(handle, EVENT_WRITE)
    assert [events for _, events in selector.select(0.001)] == [EVENT_WRITE]
    writer.send(b"x")
    selector.modify(handle, EVENT_READ | EVENT_WRITE)
    assert [events for _, events in selector.select(0.001)] == [EVENT_READ | EVENT_WRITE]
    selector.close()


def test_plain_descriptors_are_removed_at_once() -> None:
    selector = LazySelector()
    reader, writer = socket.socketpair()
    selector.register(reader.fileno(), EVENT_READ)
    selector.unregister(reader.fileno())
    assert not selector._watched
    with pytest.raises(KeyError):
        selector.unregister(reader.fileno())
    writer.close()
    selector.close()


def test_curio_serves_successive_tasks_on_one_socket() -> None:
    async def exchange(left: curio.io.Socket, right: curio.io.Socket, number: int) -> bytes:
        reading = await curio.spawn(left.recv, 100)
        await curio.sleep(0)
        await right.send(b"%d" % number)
        return bytes(await reading.join())

    async def main() -> list[bytes]:
        received = []
        for _ in range(3):
            a, b = socket.socketpair()
            left, right = curio.io.Socket(a), curio.io.Socket(b)
            for number in range(3):
                received.append(await curio.timeout_after(2, exchange, left, right, number))
            await left.close()
            await right.close()
        return received

    assert curio.run(main, selector=LazySelector()) == [b"0", b"1", b"2"] * 3
