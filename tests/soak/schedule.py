"""Draw the faults of one run from its seed; faults may overlap in time."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from snipewell.standins.metadata import StoreFaults
from snipewell.standins.platformupstream import Departure, UpstreamFaults

from ..jobfleet import Daemon
from .fleet import SoakFleet

HELD_MS = 4_000.0
"""Time for which a deregistration is held up; the next incarnation has begun when it arrives."""

Action = Callable[[], object]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that begins at ``at_s`` and lasts ``duration_s``."""

    text: str
    at_s: float
    duration_s: float
    begin: Action
    end: Action


def _no_action() -> None:
    pass


def _kill_fault(daemon: Daemon) -> tuple[str, Action, Action]:
    return f"kill {daemon.name}", daemon.kill, daemon.start


def _shutdown_fault(daemon: Daemon) -> tuple[str, Action, Action]:
    def restart() -> None:
        daemon.kill()
        daemon.start()

    return f"SIGTERM {daemon.name}", lambda: daemon.signal(signal.SIGTERM), restart


def _pause_fault(daemon: Daemon) -> tuple[str, Action, Action]:
    return (
        f"pause {daemon.name}",
        lambda: daemon.signal(signal.SIGSTOP),
        lambda: daemon.signal(signal.SIGCONT),
    )


def _kill_all_fault(fleet: SoakFleet) -> tuple[str, Action, Action]:
    daemons = [*fleet.entries, *fleet.agents]
    return (
        "kill every process",
        lambda: [daemon.kill() for daemon in daemons],
        lambda: [daemon.start() for daemon in daemons],
    )


def _link_fault(fleet: SoakFleet, rng: Random) -> tuple[str, Action, Action]:
    """Return a fault of half of the links of one kind, given by words in the relays' names."""
    word = rng.choice(["clients to", "orders to", "to the store", "agents to"])
    names = [name for name in fleet.relays if word in name]
    relays = [fleet.relays[name] for name in rng.sample(names, max(1, len(names) // 2))]
    match rng.choice(["delay", "reset", "silence", "up", "down"]):
        case "delay":

            def delay(by_ms: float) -> None:
                for relay in relays:
                    relay.delay_ms = by_ms

            by_ms = rng.choice([5.0, 40.0, 200.0])
            return (
                f"delay {len(relays)} links {word} by {by_ms:.0f} ms",
                lambda: delay(by_ms),
                lambda: delay(0.0),
            )
        case "reset":
            return (
                f"reset {len(relays)} links {word}",
                lambda: [relay.reset() for relay in relays],
                _no_action,
            )
        case direction:
            directions = ["up", "down"] if direction == "silence" else [direction]

            def set_blocked(on: bool) -> None:
                for relay in relays:
                    relay.blocked.update(dict.fromkeys(directions, on))

            return (
                f"block {'/'.join(directions)} on {len(relays)} links {word}",
                lambda: set_blocked(True),
                lambda: set_blocked(False),
            )


def _store_fault(fleet: SoakFleet, rng: Random) -> tuple[str, Action, Action]:
    match rng.choice(["down", "slow", "lost", "forgets", "revokes"]):
        case "forgets":
            return "the store compacts its history", fleet.store.compact_history, _no_action
        case "revokes":
            return (
                "the store deletes all registrations",
                lambda: fleet.store.delete_prefix("snipewell/"),
                _no_action,
            )
        case name:
            faults = {
                "down": StoreFaults(down=True),
                "slow": StoreFaults(slow_ms=300.0),
                "lost": StoreFaults(lost=0.5),
            }[name]
            return (
                f"the store is {name}",
                lambda: setattr(fleet.store, "faults", faults),
                lambda: setattr(fleet.store, "faults", StoreFaults()),
            )


def _upstream_fault(fleet: SoakFleet, rng: Random) -> tuple[str, Action, Action]:
    upstream = rng.choice(fleet.upstreams)
    match rng.choice(["crash", "late", "hang", "fail", "slow", "drain"]):
        case "crash":
            return f"{upstream.name} crashes and restarts", upstream.crash, _no_action
        case "drain":
            return (
                f"{upstream.name} drains",
                lambda: setattr(upstream, "draining", True),
                lambda: setattr(upstream, "draining", False),
            )
        case name:
            faults = {
                "late": UpstreamFaults(late=0.3),
                "hang": UpstreamFaults(hang=True),
                "fail": UpstreamFaults(fail=True),
                "slow": UpstreamFaults(slow=4.0),
            }[name]
            return (
                f"{upstream.name}: {name}",
                lambda: setattr(upstream, "faults", faults),
                lambda: setattr(upstream, "faults", UpstreamFaults()),
            )


def draw_fault(fleet: SoakFleet, rng: Random, at_s: float) -> Fault:
    """Return a random fault that begins at ``at_s``."""
    daemons = [*fleet.entries, *fleet.agents]
    kind = rng.choice(["kill", "stop", "pause", "links", "links", "store", "upstream", "all"])
    duration_s = rng.uniform(0.2, 3.0)
    match kind:
        case "kill":
            drawn = _kill_fault(rng.choice(daemons))
        case "stop":
            drawn = _shutdown_fault(rng.choice(daemons))
            duration_s = rng.uniform(0.5, 5.0)
        case "pause":
            drawn = _pause_fault(rng.choice(daemons))
        case "links":
            drawn = _link_fault(fleet, rng)
        case "store":
            drawn = _store_fault(fleet, rng)
        case "upstream":
            drawn = _upstream_fault(fleet, rng)
        case _:
            drawn = _kill_all_fault(fleet)
    text, begin, end = drawn
    return Fault(text, at_s, duration_s, begin, end)


def draw_silence_or_writer(fleet: SoakFleet, rng: Random, at_s: float) -> Fault:
    """Return a silent store, or another writer in the agents' or the entries' registrations.

    These are drawn apart, so that the seeds that failed once keep their other faults.
    """
    duration_s = rng.uniform(0.2, 5.0)
    match rng.choice(["silent", "heartbeats", "heartbeats", "registrations"]):
        case "silent":
            return Fault(
                "the store is silent",
                at_s,
                duration_s,
                lambda: setattr(fleet.store, "faults", StoreFaults(silent=True)),
                lambda: setattr(fleet.store, "faults", StoreFaults()),
            )
        case "registrations":
            text = "odd registrations of entries"
            return Fault(text, at_s, 0.0, fleet.put_odd_registrations, _no_action)
        case _:
            name = rng.choice(fleet.agents).name
            return Fault(
                f"odd heartbeats to {name}",
                at_s,
                duration_s,
                lambda: fleet.odd_heartbeats_to.add(name),
                lambda: fleet.odd_heartbeats_to.discard(name),
            )


def draw_departure_or_zone(fleet: SoakFleet, rng: Random, at_s: float) -> Fault:
    """Return an upstream that leaves at short notice, or a zone that is out of service.

    These are drawn apart, so that the seeds that failed once keep their other faults.
    """
    upstream = rng.choice(fleet.upstreams)
    if rng.random() < 0.5:
        notice_ms = rng.uniform(200.0, 1_500.0)
        answer_lost, held_ms = rng.choice([(False, 0.0), (True, 0.0), (False, HELD_MS)])
        departure = Departure(notice_ms, answer_lost, held_ms)
        text = f"{upstream.name} leaves: {departure}"
        return Fault(text, at_s, 0.0, lambda: upstream.leave(departure), _no_action)
    key = f"op/evacuate/{upstream.zone}"

    def withdraw() -> None:
        fleet.store.put(key, b"{}")

    text = f"{upstream.zone} is out of service"
    return Fault(text, at_s, rng.uniform(0.2, 3.0), withdraw, lambda: fleet.store.delete(key))
