from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import curio
import zmq

from snipewell.ids import AgentId, EntryId, Incarnation, Revision, ScopedKey
from snipewell.message import AnyMessage, Forget, Message, Permit, encode
from snipewell.transport import CurveKeys, Dealers, Router, agent_identity, parse_agent_identity

ENTRY = EntryId("e1.aa")
AGENT = agent_identity(AgentId("a-1"), Incarnation("01"))


def permit(sequence: int) -> Permit:
    return Permit(ENTRY, sequence, Revision(1), True, 1500)


def run(scenario: Callable[[zmq.Context], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with curio.timeout_after(30):
            with zmq.Context() as context:
                await scenario(context)

    curio.run(bounded)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await curio.sleep(0.005)


def test_round_trips_with_both_ends_sending_at_once_do_not_stall() -> None:
    """Guards against unread replies: a send may consume the edge of the descriptor."""
    echoed: list[int] = []
    pushed: list[int] = []

    async def scenario(context: zmq.Context) -> None:
        async def serve(peer: str, message: AnyMessage) -> None:
            await router.send(peer, message)

        def receive(_peer: str, message: AnyMessage) -> None:
            assert isinstance(message, Permit)
            (echoed if message.sequence >= 0 else pushed).append(message.sequence)

        router = Router(context, ENTRY, "127.0.0.1:0", serve)
        dealers = Dealers(context, AGENT, receive)
        await router.start()
        await dealers.connect(ENTRY, router.address)
        await wait_until_connected(dealers, echoed)

        async def push() -> None:
            for number in range(5_000):
                await router.send(AGENT, permit(-1 - number))
                await curio.sleep(0 if number % 100 else 0.001)

        pusher = await curio.spawn(push)
        for number in range(1, 5_001):
            await dealers.send(ENTRY, permit(number))
            if number % 7 == 0:
                await wait_until(lambda wanted=number: len(echoed) > wanted - 50)
        await pusher.join()
        await wait_until(lambda: len(echoed) >= 5_000 and len(pushed) == 5_000)
        await dealers.close()
        await router.close()

    run(scenario)
    assert echoed[-5_000:] == list(range(1, 5_001))


async def wait_until_connected(dealers: Dealers, echoed: list[int]) -> None:
    """Send wait_until the first echo, because a dealer that is not connected drops its messages."""
    while not echoed:
        await dealers.send(ENTRY, permit(0))
        await curio.sleep(0.02)
    await curio.sleep(0.1)
    echoed.clear()


def test_messages_to_unreachable_peers_are_reported() -> None:
    """Guards against a message that ZeroMQ queues for a disconnected peer, or drops silently."""
    undelivered_messages: list[tuple[str, Message]] = []

    async def scenario(context: zmq.Context) -> None:
        router = Router(
            context,
            ENTRY,
            "127.0.0.1:0",
            lambda *_: None,
            lambda *item: undelivered_messages.append(item),
        )
        dealers = Dealers(
            context, AGENT, lambda *_: None, lambda *item: undelivered_messages.append(item)
        )
        await router.start()
        await router.send("nobody+00", permit(1))
        await dealers.connect("e2.bb", "127.0.0.1:9")
        await dealers.send("e2.bb", permit(2))
        await wait_until(lambda: len(undelivered_messages) == 2)
        assert not await dealers.send("e3.cc", permit(3))
        assert (router.counters.undelivered, dealers.counters.undelivered) == (1, 2)
        await dealers.close()
        await router.close()

    run(scenario)
    assert undelivered_messages == [("nobody+00", permit(1)), ("e2.bb", permit(2))]


def test_malformed_messages_are_counted_and_dropped() -> None:
    """Guards against a faulty peer that terminates the task of the entry's socket."""
    received: list[AnyMessage] = []

    async def scenario(context: zmq.Context) -> None:
        router = Router(
            context, ENTRY, "127.0.0.1:0", lambda _peer, message: received.append(message)
        )
        await router.start()
        peer = context.socket(zmq.DEALER)
        peer.setsockopt(zmq.IDENTITY, f"{AGENT}/1".encode())
        peer.connect(f"tcp://{router.address}")
        good = encode(Forget([ScopedKey("t/k")]))
        for frames in ([b""], [b"\x02" + good[1:]], [good, good], [good[:-1]], [good]):
            peer.send_multipart(frames)
        await wait_until(lambda: bool(received))
        assert router.counters.malformed == 4
        peer.close(linger=0)
        await router.close()

    run(scenario)
    assert received == [Forget([ScopedKey("t/k")])]


def test_messages_are_routed_to_the_latest_connection_of_a_peer() -> None:
    """Guards against a router that keeps sending on the unresponsive connection of a peer."""
    received: list[int] = []

    async def scenario(context: zmq.Context) -> None:
        async def serve(peer: str, message: AnyMessage) -> None:
            await router.send(peer, message)

        router = Router(context, ENTRY, "127.0.0.1:0", serve)
        await router.start()
        unresponsive = context.socket(zmq.DEALER)
        unresponsive.setsockopt(zmq.IDENTITY, f"{AGENT}/0".encode())
        unresponsive.connect(f"tcp://{router.address}")
        unresponsive.send(encode(permit(1)))
        await wait_until(lambda: router.counters.received == 1)
        dealers = Dealers(context, AGENT, lambda _peer, message: received.append(message.sequence))
        await dealers.connect(ENTRY, router.address)
        await wait_until_connected(dealers, received)
        await dealers.replace(ENTRY)
        await wait_until_connected(dealers, received)
        unresponsive.close(linger=0)
        await dealers.close()
        await router.close()

    run(scenario)


async def bind_with_retries(
    context: zmq.Context, entry: str, address: str, deliver: Callable[[str, AnyMessage], Any]
) -> Router:
    """Bind a router to ``address``; ZeroMQ releases a port some time after close has returned."""
    for _ in range(200):
        try:
            return Router(context, entry, address, deliver)
        except zmq.ZMQError as error:
            assert error.errno == errno.EADDRINUSE
            await curio.sleep(0.01)
    raise AssertionError(f"{address} is still in use after 2 s")


def test_restarted_peer_at_the_same_address_replaces_its_predecessor() -> None:
    """Guards against two sockets to one router that take over the identity from each other."""
    received: list[int] = []

    async def scenario(context: zmq.Context) -> None:
        async def serve(peer: str, message: AnyMessage) -> None:
            await routers[-1].send(peer, message)

        routers = [Router(context, ENTRY, "127.0.0.1:0", serve)]
        await routers[0].start()
        address = routers[0].address
        dealers = Dealers(context, AGENT, lambda _peer, message: received.append(message.sequence))
        await dealers.connect(ENTRY, address)
        await wait_until_connected(dealers, received)
        await routers[0].close()
        while len(routers) == 1:
            # ZeroMQ releases the port some time after the socket was closed.
            with suppress(zmq.ZMQError):
                routers.append(await bind_with_retries(context, "e1.bb", address, serve))
            await curio.sleep(0.01)
        await routers[1].start()
        await dealers.connect("e1.bb", address)
        assert dealers.peers() == {"e1.bb": address}
        while not received:
            await dealers.send("e1.bb", permit(0))
            await curio.sleep(0.02)
        await dealers.close()
        await routers[1].close()

    run(scenario)


def test_closing_one_of_two_connections_of_a_peer_keeps_the_router_running() -> None:
    """Guards against an abort of the process by libzmq.

    It happened with ROUTER_HANDOVER and heartbeats together.
    """

    async def scenario(context: zmq.Context) -> None:
        router = Router(context, ENTRY, "127.0.0.1:0", lambda _peer, _message: None)
        await router.start()
        agents = [f"a-{number}+01" for number in range(6)]
        peers = [Dealers(zmq.Context(), agent, lambda _peer, _message: None) for agent in agents]
        for serial in range(8):
            for dealers in peers:
                await dealers.connect(f"first.{serial}", router.address)
                dealers._addresses[f"first.{serial}"] = ("elsewhere", None)
                await dealers.connect(f"second.{serial}", router.address)
            for _ in range(10):
                for agent, dealers in zip(agents, peers, strict=True):
                    await dealers.send(f"first.{serial}", permit(1))
                    await dealers.send(f"second.{serial}", permit(2))
                    await router.send(agent, permit(3))
                await curio.sleep(0.01)
            for dealers in peers:
                await dealers.disconnect(f"first.{serial}")
            await curio.sleep(0.02)
            for dealers in peers:
                await dealers.disconnect(f"second.{serial}")
        assert router.counters.received > 0
        await router.close()

    run(scenario)


def test_curve_keys_admit_only_peers_that_know_the_router() -> None:
    """Guards against CURVE keys that are configured but have no effect."""
    received: list[AnyMessage] = []

    async def scenario(context: zmq.Context) -> None:
        public, secret = zmq.curve_keypair()
        other, _ = zmq.curve_keypair()
        client_keys = zmq.curve_keypair()
        router = Router(
            context,
            ENTRY,
            "127.0.0.1:0",
            lambda _peer, message: received.append(message),
            curve=CurveKeys(public, secret),
        )
        await router.start()
        plain = Dealers(context, "plain+1", lambda *_: None)
        wrong = Dealers(context, "wrong+1", lambda *_: None)
        right = Dealers(context, AGENT, lambda *_: None)
        await plain.connect(ENTRY, router.address)
        await wrong.connect(ENTRY, router.address, CurveKeys(*client_keys, server_public=other))
        await right.connect(ENTRY, router.address, CurveKeys(*client_keys, server_public=public))
        while not received:
            for number, dealers in enumerate((plain, wrong, right)):
                await dealers.send(ENTRY, permit(number))
            await curio.sleep(0.02)
        for dealers in (plain, wrong, right):
            await dealers.close()
        await router.close()

    run(scenario)
    assert {message.sequence for message in received if isinstance(message, Permit)} == {2}


def test_identities_distinguish_agents_from_entries() -> None:
    """Guards against messages of an entry that are attributed to an agent."""
    assert parse_agent_identity(AGENT) == ("a-1", "01")
    assert parse_agent_identity(ENTRY) is None
