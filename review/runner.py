"""A runner as a process of its own, for tests with hundreds of runs.

It follows PROTOCOL.md like `rig.Runner`, but answers a call in about a tenth of a millisecond, so
that its speed doesn't decide the result. The arguments are its name, zone, address, the address of
its agent, its capacity in thousandths of a core, and the file to which it writes its runs as lines
of JSON with the times of the steady clock. SIGTERM ends it.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec
from rig import HEARTBEAT_S, MAX_HOLD_MS, MAX_WAIT_MS, SERVICE, STOP_GRACE_S, Run, now

encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder().decode
TICK_S = 0.005


class Life:
    """The only life of the runner."""

    def __init__(self, name: str, zone: str, address: str, agent: str, cpu: int) -> None:
        self.name, self.zone, self.address, self.agent, self.cpu = name, zone, address, agent, cpu
        self.history: list[Run] = []
        self._born = time.time_ns() // 1_000_000
        self._began = now()
        self._fence = 0
        self._lease_end_ms = 0.0
        self._running: dict[tuple[str, int], Run] = {}
        self._used = 0
        self._ends: list[list[object]] = []
        self._end_count = 0
        self._highest: dict[str, int] = {}
        self._ended = asyncio.Event()

    def clock_ms(self) -> float:
        """Return the runner's clock."""
        return (now() - self._began) * 1000 + 1_000

    async def work(self) -> None:
        """End the runs that are done, stopped or without a lease."""
        while True:
            await asyncio.sleep(TICK_S)
            moment, lapsed = now(), self.clock_ms() > self._lease_end_ms
            for key, run in list(self._running.items()):
                if run.stop_at is not None and moment >= run.stop_at:
                    self.finish(key, "stopped")
                elif lapsed:
                    self.finish(key, "lapsed")
                elif (moment - run.started) * 1000 >= run.work_ms:
                    self.finish(key, "done")

    def finish(self, key: tuple[str, int], how: str) -> None:
        """End a run."""
        run = self._running.pop(key)
        run.ended, run.how = now(), how
        self._used -= run.cpu
        self._end_count += 1
        self._ends.append([self._end_count, *key, how, ""])
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        self._ended.set()

    def end(self) -> None:
        """End all runs."""
        for key in list(self._running):
            self.finish(key, "the test is over")

    async def beat(self) -> None:
        """Send heartbeats."""
        sequence = 0
        host, port = self.agent.split(":")
        while True:
            await asyncio.sleep(0.3 if not sequence else HEARTBEAT_S)
            sequence += 1
            body = encode(
                {
                    "service": SERVICE,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "capacity": {"cpu": self.cpu, "memMb": 131_072, "gpus": 0},
                    "labels": ["a"],
                    "clockMs": int(self.clock_ms()),
                    "sequence": sequence,
                    "born": self._born,
                }
            )
            path = f"/snipewell/instances/{self.name}/heartbeat"
            head = f"POST {path} HTTP/1.1\r\nHost: {self.agent}\r\nConnection: close\r\n"
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode() + body)
                await asyncio.wait_for(reader.read(), 1)
                writer.close()
            except (OSError, TimeoutError):
                continue

    def call(self, path: bytes, instance: bytes, content: bytes) -> tuple[int, dict[str, Any]]:
        """Carry out a call; return the status and the body of the answer."""
        if instance and instance.decode() != self.name:
            return 421, {}
        body = decode(content)
        answer: dict[str, Any] = {"clockMs": int(self.clock_ms()), "born": self._born}
        fence = body.get("fencingToken", 0)
        if fence < self._fence:
            return 409, answer | {"reason": "fence"}
        self._fence = fence
        if path == b"/snipewell/run-start":
            reason = self._start(body)
            return (409, answer | {"reason": reason}) if reason else (200, answer)
        if path == b"/snipewell/run-stop":
            task, attempt = body["task"], body["attempt"]
            self._highest[task] = max(self._highest.get(task, 0), attempt)
            run = self._running.get((task, attempt))
            if run is not None and run.stop_at is None:
                run.stop_at = now() + STOP_GRACE_S
            return 200, answer
        if path == b"/snipewell/hold":
            if "deadlineMs" in body:
                self._extend(body["deadlineMs"])
            acked = body.get("ackCursor", 0)
            self._ends = [end for end in self._ends if int(str(end[0])) > acked]
            return 200, {"waitMs": body.get("waitMs", 0)}
        return 404, {}

    async def list_runs(self, wait_ms: float) -> dict[str, Any]:
        """Return the lists of runs, after an end or ``wait_ms``."""
        if wait_ms and not self._ends:
            self._ended.clear()
            try:
                await asyncio.wait_for(self._ended.wait(), min(wait_ms, MAX_WAIT_MS) / 1000)
            except TimeoutError:
                pass
        running = [
            [*key, "", int(100_000 * (now() - run.started) / run.work_ms), run.cpu]
            for key, run in self._running.items()
        ]
        lists = {"running": running, "finished": self._ends[:500]}
        return {"clockMs": int(self.clock_ms()), "born": self._born, **lists}

    def _extend(self, deadline_ms: float) -> None:
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        self._lease_end_ms = max(self._lease_end_ms, min(deadline_ms, limit_ms))

    def _start(self, body: dict[str, Any]) -> str:
        key = (body["task"], body["attempt"])
        if key in self._running:
            return ""
        if body["deadlineMs"] <= self.clock_ms():
            return "late"
        self._extend(body["deadlineMs"])
        if key[1] <= self._highest.get(key[0], 0):
            return "old"
        work = decode(body["specification"])
        if self._used + work["cpu"] > self.cpu:
            return "room"
        run = Run(self.name, self._born, ("a",), *key, now(), work["ms"], work["cpu"])
        self._running[key] = run
        self._used += run.cpu
        self.history.append(run)
        return ""


class Connection(asyncio.Protocol):
    """A connection of the agent; it carries one call at a time."""

    def __init__(self, life: Life) -> None:
        self._life = life
        self._data = b""
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer the call if it is complete."""
        self._data += data
        head, blank, content = self._data.partition(b"\r\n\r\n")
        fields = {}
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            fields[name.strip().lower()] = value.strip()
        if not blank or len(content) < int(fields.get(b"content-length", b"0")):
            return
        self._data = b""
        path = head.split(b" ", 2)[1]
        instance = fields.get(b"snipewell-expected-instance", b"")
        status, body = self._life.call(path, instance, content)
        if "waitMs" in body:
            asyncio.get_running_loop().create_task(self._answer_hold(body["waitMs"]))
        else:
            self._answer(status, body)

    async def _answer_hold(self, wait_ms: float) -> None:
        self._answer(200, await self._life.list_runs(wait_ms))

    def _answer(self, status: int, body: dict[str, Any]) -> None:
        content = encode(body)
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(content)}\r\n\r\n"
        if not self._transport.is_closing():
            self._transport.write(head.encode() + content)


async def run(name: str, zone: str, address: str, agent: str, cpu: str, file: str) -> None:
    """Serve until SIGTERM, then write all runs."""
    life = Life(name, zone, address, agent, int(cpu))
    host, port = address.split(":")
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await loop.create_server(lambda: Connection(life), host, int(port))
    tasks = [loop.create_task(life.work()), loop.create_task(life.beat())]
    await stop.wait()
    life.end()
    Path(file).write_bytes(b"\n".join(encode(asdict(each)) for each in life.history))
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(run(*sys.argv[1:]))
