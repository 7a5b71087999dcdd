from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import msgspec
import pytest
import zmq

from snipewell.agentd import AgentDaemon
from snipewell.client import fetch
from snipewell.ids import (
    EntryId,
    Epoch,
    Partition,
    Revision,
    ScopedKey,
    ServiceName,
    TaskIndex,
    TeamName,
)
from snipewell.message import (
    AnyMessage,
    Cancel,
    Heartbeat,
    Permit,
    QueryReply,
    RefusalReason,
    Refused,
    Result,
    Start,
    TaskState,
)
from snipewell.server import HttpServer
from snipewell.settings import AgentSettings, UpstreamSettings
from snipewell.standins.upstream import Faults, Upstream
from snipewell.transport import Router
from snipewell.web import Request, Response

ENTRY = EntryId("e1.a")
KEY = ScopedKey("team/k")


class FakeEntry:
    """Answers heartbeats with permits, lists itself, and stores the agent's other messages."""

    def __init__(self, context: zmq.Context, name: EntryId = ENTRY) -> None:
        self.name = name
        self.agent = ""
        self.revision, self.accepting = Revision(1), True
        self.received: list[Any] = []
        self.draining = False
        self.router = Router(context, name, "127.0.0.1:0", self._on_message)
        self.http = HttpServer(self._list_entries)

    async def start(self) -> None:
        await self.router.start()
        await self.http.start("127.0.0.1", 0)

    async def stop(self) -> None:
        await self.router.close()
        await self.http.stop(0)

    async def _list_entries(self, _request: Request) -> Response:
        listed = [{"entry": self.name, "message_address": self.router.address, "zone": "patan"}]
        return Response.from_json(200, {"entries": listed})

    async def _on_message(self, peer: str, message: AnyMessage) -> None:
        if isinstance(message, Heartbeat):
            self.agent, self.draining = peer, message.draining
            await self.push(message.sequence, self.accepting)
        else:
            self.received.append(message)

    async def push(self, sequence: int, accepting: bool) -> None:
        permit = Permit(self.name, sequence, self.revision, accepting, 1_500)
        await self.router.send(self.agent, permit)

    async def submit(self, task: int, payload: object = None, **fields: Any) -> None:
        names = (Partition(0), Epoch(1), ServiceName("dye"), TeamName("team"))
        body, deadline_ms = msgspec.json.encode(payload or {}), fields.pop("deadline_ms", 10_000.0)
        start = Start(KEY, TaskIndex(task), *names, body, deadline_ms, False, self.name, **fields)
        await self.router.send(self.agent, start)

    async def take(self) -> Any:
        while not self.received:
            await curio.sleep(0.005)
        return self.received.pop(0)

    async def run(self, task: int, payload: object = None, **fields: Any) -> Any:
        await self.submit(task, payload, **fields)
        return await self.take()


def settings_for(entry: FakeEntry, upstream: str, slots: int) -> AgentSettings:
    return AgentSettings(
        name="a1",
        zone="patan",
        rack="r1",
        host="127.0.0.1",
        upstream="u1",
        upstream_address=upstream,
        balancer="{}:{}".format(*entry.http.address),
        services=["dye"],
        slots=slots,
        heartbeat_interval_ms=100,
        entries_interval_ms=100,
    )


class Harness:
    """A fake entry, a stand-in upstream and an agent daemon in one curio kernel."""

    entry: FakeEntry
    upstream: Upstream
    daemon: AgentDaemon


def run(scenario: Callable[[Harness], Awaitable[None]], slots: int = 1) -> None:
    async def bounded() -> None:
        harness = Harness()
        with zmq.Context() as context:
            harness.entry = FakeEntry(context)
            harness.upstream = Upstream(
                UpstreamSettings(name="u1", host="127.0.0.1", port=0, service_ms=5)
            )
            async with curio.timeout_after(30):
                await harness.entry.start()
                await harness.upstream.start()
                harness.daemon = AgentDaemon(
                    settings_for(harness.entry, harness.upstream.address, slots)
                )
                task = await curio.spawn(harness.daemon.run)
                while not harness.daemon.agent.may_send():
                    await curio.sleep(0.01)
                await scenario(harness)
                harness.daemon.stop()
                assert await task.join() == harness.daemon.aborted_calls == 0
                await harness.upstream.stop()
                await harness.entry.stop()

    curio.run(bounded)


def test_task_runs_once_and_its_result_is_returned() -> None:
    """Guards against a repeated start that reaches the upstream, and a lost or altered body."""

    async def scenario(harness: Harness) -> None:
        result = await harness.entry.run(0, {"reply": "blue"})
        assert (result.state, result.body) == (TaskState.OK, b'"blue"')
        assert (await harness.entry.run(0, {"reply": "red"})).body == b'"blue"'
        assert [(item.key, item.task) for item in harness.upstream.log] == [(KEY, 0)]

    run(scenario)


@pytest.mark.parametrize(
    ("fault", "state"),
    [
        ({"fail": True}, TaskState.FAILED),
        ({"truncate": True}, TaskState.UNKNOWN),
        ({"close": True}, TaskState.UNKNOWN),
        ({"wrong_id": True}, TaskState.UNKNOWN),
        ({"hang": True}, TaskState.UNKNOWN),
    ],
)
def test_faulty_call_is_reported_correctly_and_not_repeated(
    fault: dict[str, bool], state: TaskState
) -> None:
    """Guards against truncated or crossed responses, stuck calls, and repeated calls."""

    async def scenario(harness: Harness) -> None:
        body = msgspec.json.encode(fault)
        await fetch(harness.upstream.address, Request("POST", "/faults", body=body), 1_000)
        result = await harness.entry.run(0, {"reply": "blue"}, deadline_ms=300.0)
        assert (result.state, result.body) == (state, b"")
        harness.upstream.faults = Faults()
        assert (await harness.entry.run(1, {"reply": "red"})).body == b'"red"'
        assert [item.task for item in harness.upstream.log] == [0, 1]

    run(scenario)


def test_unreachable_upstream_causes_a_refusal() -> None:
    """Guards against an unknown outcome where no byte was sent."""

    async def scenario(harness: Harness) -> None:
        await harness.upstream.stop()
        refused = await harness.entry.run(0)
        assert isinstance(refused, Refused) and refused.reason is RefusalReason.BUSY

    run(scenario)


def test_cancel_aborts_the_call_and_frees_the_slot() -> None:
    """Guards against a cancelled task that occupies its slot until its end."""

    async def scenario(harness: Harness) -> None:
        await harness.entry.submit(0, {"ms": 20_000})
        while not harness.upstream.running:
            await curio.sleep(0.005)
        await harness.entry.router.send(harness.entry.agent, Cancel(KEY, [TaskIndex(0)]))
        assert (await harness.entry.take()).state is TaskState.CANCELLED
        assert (await harness.entry.run(1)).state is TaskState.OK
        assert harness.upstream.log[0].state is TaskState.CANCELLED

    run(scenario)


def test_cancels_that_cross_the_answers_leave_no_slot_occupied() -> None:
    """Guards against an abort that interrupts the report of an end, or the start after it."""

    async def scenario(harness: Harness) -> None:
        entry = harness.entry
        for task in range(0, 200, 2):
            await entry.submit(task, {"ms": 1})
            await entry.submit(task + 1, {"ms": 1})
            await curio.sleep(0.001 + task % 16 * 0.0005)
            await entry.router.send(entry.agent, Cancel(KEY, [TaskIndex(task)]))
            assert {(await entry.take()).task, (await entry.take()).task} == {task, task + 1}
        assert not harness.daemon.agent.task_tracker.running
        assert len({item.task for item in harness.upstream.log}) == len(harness.upstream.log)

    run(scenario)


def test_pushed_withdrawal_stops_starts() -> None:
    """Guards against starts in a zone that operators took out of service."""

    async def scenario(harness: Harness) -> None:
        harness.entry.revision, harness.entry.accepting = Revision(2), False
        await harness.entry.push(0, accepting=False)
        refused = await harness.entry.run(0)
        assert isinstance(refused, Refused) and refused.reason is RefusalReason.NO_PERMIT
        assert not harness.upstream.log

    run(scenario)


def test_known_entries_stay_in_use_without_the_balancer() -> None:
    """Guards against agents that drop their entries because the balancer is unavailable."""

    async def scenario(harness: Harness) -> None:
        await harness.entry.http.stop(0)
        await curio.sleep(0.5)
        assert (await harness.entry.run(0)).state is TaskState.OK

    run(scenario)


def test_burst_of_more_tasks_than_slots_ends_each_exactly_once() -> None:
    """Guards against a leaked slot, or a task without an answer, under a burst."""

    async def scenario(harness: Harness) -> None:
        ended: set[int] = set()
        attempts = dict.fromkeys(range(200), 0)
        for task in attempts:
            await harness.entry.submit(task, {"ms": 1})
        while len(ended) < 200:
            message = await harness.entry.take()
            if isinstance(message, Result):
                assert message.task not in ended
                ended.add(message.task)
            else:
                assert not isinstance(message, QueryReply)
                attempts[message.task] += 1
                await harness.entry.submit(message.task, {"ms": 1}, attempt=attempts[message.task])
        assert len(harness.upstream.log) == 200
        assert harness.upstream.peak_running <= 8

    run(scenario, slots=8)


SCRIPT = """
import sys, curio, msgspec
from snipewell.agentd import run_agent
from snipewell.settings import AgentSettings
sys.exit(curio.run(run_agent, msgspec.json.decode(sys.argv[1], type=AgentSettings)))
"""


@pytest.mark.parametrize(("signals", "status"), [(1, 0), (2, 1)])
def test_sigterm_drains_and_a_second_one_reports_aborted_calls(signals: int, status: int) -> None:
    """Guards against a shutdown that aborts running tasks or loses their results."""

    async def scenario() -> None:
        with zmq.Context() as context:
            entry = FakeEntry(context)
            upstream = Upstream(UpstreamSettings(name="u1", host="127.0.0.1", port=0))
            await entry.start()
            await upstream.start()
            settings = msgspec.json.encode(settings_for(entry, upstream.address, 1))
            process = subprocess.Popen(
                [sys.executable, "-c", SCRIPT, settings.decode()], stderr=subprocess.PIPE
            )
            while not entry.agent:
                await curio.sleep(0.01)
            await entry.submit(0, {"ms": 600 if signals == 1 else 20_000})
            while not upstream.running:
                await curio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            while not entry.draining:
                await curio.sleep(0.01)
            refused = await entry.run(1)
            assert refused.reason is RefusalReason.DRAINING
            if signals == 2:
                process.send_signal(signal.SIGTERM)
            result = await entry.take()
            assert result.state is (TaskState.OK if signals == 1 else TaskState.UNKNOWN)
            while process.poll() is None:
                await curio.sleep(0.01)
            assert process.returncode == status
            assert process.stderr is not None
            assert (b"cut off" in process.stderr.read()) == (signals == 2)
            await upstream.stop()
            await entry.stop()

    async def bounded() -> None:
        async with curio.timeout_after(30):
            await scenario()

    curio.run(bounded)
