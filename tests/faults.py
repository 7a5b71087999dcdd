"""Run concurrent clients and a seeded schedule of faults against a `Cluster` of processes."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from snipewell.outcome import NotRun, Unknown
from tests.history import Event, Violation, check_history
from tests.processes import ZONES, Cluster, call, expected_reply


@dataclass(frozen=True)
class Fault:
    """A fault; ``begin`` injects it and ``end`` removes it after ``duration_s``."""

    name: str
    begin: Callable[[Cluster], object]
    end: Callable[[Cluster], object]
    duration_s: float


def kill(name: str, down_s: float = 0.5) -> Fault:
    return Fault(f"kill {name}", lambda c: c.kill(name), lambda c: c.spawn(name), down_s)


def pause(name: str, duration_s: float) -> Fault:
    return Fault(f"pause {name}", lambda c: c.pause(name), lambda c: c.resume(name), duration_s)


def restart(name: str) -> Fault:
    """Return a fault that shuts a process down gracefully and starts a new incarnation."""
    return Fault(f"replace {name}", lambda c: c.terminate(name), lambda c: c.spawn(name), 0.2)


def store_fault(name: str, duration_s: float, **faults: object) -> Fault:
    """Return a fault of the store that expires by itself.

    A store that is down accepts no call, hence none that would remove the fault.
    """
    value = {"for_ms": duration_s * 1000, **faults}
    return Fault(f"store {name}", lambda c: c.set_store_faults(value), lambda c: None, duration_s)


def zone_out(zone: str, duration_s: float) -> Fault:
    return Fault(
        f"zone {zone} out",
        lambda c: c.put("zones", zone, {"in_service": False}),
        lambda c: c.put("zones", zone, {"in_service": True}),
        duration_s,
    )


def upstream_out(name: str, duration_s: float) -> Fault:
    return Fault(
        f"upstream {name} leaving",
        lambda c: c.put("upstreams", name, {"in_service": False}),
        lambda c: c.put("upstreams", name, {"in_service": True}),
        duration_s,
    )


def upstream_fault(name: str, duration_s: float, **faults: object) -> Fault:
    return Fault(
        f"upstream {name} {sorted(faults)}",
        lambda c: c.set_upstream_faults(name, faults),
        lambda c: c.set_upstream_faults(name, {}),
        duration_s,
    )


def draw_fault(rng: random.Random, cluster: Cluster) -> Fault:
    """Return a random fault.

    Upstreams are never killed, because their logs are the record of the tasks that ran.
    """
    entry = rng.choice(list(cluster.entries))
    agent = f"a{rng.randrange(cluster.agent_count)}"
    upstream = rng.choice(list(cluster.upstreams))
    return rng.choice(
        [
            kill(entry),
            kill(agent),
            pause(entry, rng.uniform(0.5, 4)),
            pause(agent, rng.uniform(0.5, 4)),
            restart(entry),
            restart(agent),
            store_fault("down", rng.uniform(1, 4), down="refuse"),
            store_fault("hangs", rng.uniform(1, 3), down="hang"),
            store_fault("slow", rng.uniform(1, 4), slow_ms=400),
            store_fault("loses answers", rng.uniform(1, 3), lose_answers=3),
            # Starts are violations only later than 3 s after the withdrawal, see `Bounds`.
            zone_out(rng.choice(ZONES), rng.uniform(3.5, 5)),
            upstream_out(upstream, rng.uniform(3.5, 5)),
            upstream_fault(upstream, 2, fail=True),
            upstream_fault(upstream, 2, hang=True),
            upstream_fault(upstream, 2, truncate=True),
            upstream_fault(upstream, 2, close=True),
            upstream_fault(upstream, 2, wrong_id=True),
        ]
    )


@dataclass
class Clients:
    """Client threads that submit requests and jobs, resubmit, cancel and time out until stopped.

    ``answered`` counts the attempts that received an outcome, ``complete`` the complete ones.
    """

    cluster: Cluster
    seed: int
    count: int = 6
    via_balancer: bool = False
    answered: int = 0
    complete: int = 0
    _threads: list[threading.Thread] = field(default_factory=list)
    _stopping: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def start(self) -> None:
        for number in range(self.count):
            thread = threading.Thread(target=self._run, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop submitting, and wait until every submission in progress has ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(60)
            assert not thread.is_alive(), "a client thread did not end within 60 s"

    def _run(self, number: int) -> None:
        rng = random.Random(f"{self.seed}/{number}")
        serial = 0
        while not self._stopping.is_set():
            serial += 1
            self._submit(rng, f"k{self.seed}-{number}-{serial}")
            time.sleep(rng.uniform(0, 0.05))

    def _submit(self, rng: random.Random, key: str) -> None:
        """Submit one key in up to six attempts, until its outcome is final."""
        job = rng.random() < 0.4
        size = rng.choice([2, 5, 20]) if job else 1
        service = rng.choice(["check", "booking"])
        payloads = [
            {"ms": rng.uniform(5, 120), "reply": expected_reply(key, task)} for task in range(size)
        ]
        send_duplicate = rng.random() < 0.1
        if send_duplicate:
            duplicate = threading.Thread(
                target=self._attempt,
                args=(rng.choice(self._entries()), key, payloads, service, job, "twin"),
            )
            duplicate.start()
        if rng.random() < 0.05:
            threading.Timer(
                rng.uniform(0, 0.2), self._cancel, (rng.choice(self._entries()), key)
            ).start()
        for attempt in range(6):
            entry = rng.choice(self._entries())
            outcome = self._attempt(entry, key, payloads, service, job, str(attempt))
            if outcome is not None and not isinstance(outcome, NotRun | Unknown):
                break
            time.sleep(rng.uniform(0.05, 0.4))
        if send_duplicate:
            duplicate.join()

    def _entries(self) -> list[str | None]:
        return [None] if self.via_balancer else list(self.cluster.entries)

    def _attempt(
        self,
        entry: str | None,
        key: str,
        payloads: list[dict[str, object]],
        service: str,
        job: bool,
        name: str,
    ) -> object:
        outcome = self.cluster.submit(key, payloads, service, job, entry, f"{key}:{name}")
        with self._lock:
            self.answered += outcome is not None
            self.complete += type(outcome).__name__ == "Complete"
        return outcome

    def _cancel(self, entry: str | None, key: str) -> None:
        address = self.cluster.entries[entry] if entry else self.cluster.balancer
        try:
            call("DELETE", address, f"/v1/jobs/{key}?team=default")
        except OSError:
            pass


@dataclass(frozen=True)
class FaultRun:
    """The result of one run: its faults, history, violations and counts of outcomes."""

    faults: list[str]
    events: list[Event]
    violations: list[Violation]
    answered: int
    complete: int
    unanswered: list[str]


def run_faults(
    cluster: Cluster,
    seed: int,
    faults: list[Fault],
    gap_s: float = 0.8,
    via_balancer: bool = False,
) -> FaultRun:
    """Run clients while ``faults`` are injected one after another, and check the history."""
    clients = Clients(cluster, seed, via_balancer=via_balancer)
    clients.start()
    observer_stop = threading.Event()
    observer = threading.Thread(target=_observe, args=(cluster, observer_stop), daemon=True)
    observer.start()
    try:
        for fault in faults:
            time.sleep(gap_s)
            fault.begin(cluster)
            time.sleep(fault.duration_s)
            fault.end(cluster)
        time.sleep(gap_s)
    finally:
        clients.stop()
        observer_stop.set()
        observer.join(10)
    events = cluster.collect()
    names = [fault.name for fault in faults]
    return FaultRun(
        names, events, check_history(events), clients.answered, clients.complete, cluster.unanswered
    )


def _observe(cluster: Cluster, stop: threading.Event) -> None:
    while not stop.wait(0.2):
        cluster.observe()
