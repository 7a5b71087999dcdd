"""The faults of one run, drawn by its seed: series that overlap, each with a begin and an end."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from snipewell.standins.metadata import StoreFaults
from snipewell.standins.orders import OrderFaults

from ..jobfleet import Daemon
from .fleet import SoakFleet

Act = Callable[[], object]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault from ``at_s`` on for ``for_s`` seconds."""

    text: str
    at_s: float
    for_s: float
    begin: Act
    end: Act


def _nothing() -> None:
    pass


def _kill(daemon: Daemon) -> tuple[str, Act, Act]:
    return f"kill {daemon.name}", daemon.kill, daemon.start


def _stop(daemon: Daemon) -> tuple[str, Act, Act]:
    def restart() -> None:
        daemon.kill()
        daemon.start()

    return f"SIGTERM {daemon.name}", lambda: daemon.signal(signal.SIGTERM), restart


def _pause(daemon: Daemon) -> tuple[str, Act, Act]:
    return (
        f"pause {daemon.name}",
        lambda: daemon.signal(signal.SIGSTOP),
        lambda: daemon.signal(signal.SIGCONT),
    )


def _kill_all(fleet: SoakFleet) -> tuple[str, Act, Act]:
    daemons = [*fleet.entries, *fleet.agents]
    return (
        "kill every process",
        lambda: [daemon.kill() for daemon in daemons],
        lambda: [daemon.start() for daemon in daemons],
    )


def _links(fleet: SoakFleet, rng: Random) -> tuple[str, Act, Act]:
    """Return a fault of all relays whose name has one word in common."""
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
                _nothing,
            )
        case way:
            ways = ["up", "down"] if way == "silence" else [way]

            def hold(on: bool) -> None:
                for relay in relays:
                    relay.held.update(dict.fromkeys(ways, on))

            return (
                f"hold {'/'.join(ways)} on {len(relays)} links {word}",
                lambda: hold(True),
                lambda: hold(False),
            )


def _store(fleet: SoakFleet, rng: Random) -> tuple[str, Act, Act]:
    match rng.choice(["down", "slow", "lost", "forgets", "revokes"]):
        case "forgets":
            return "the store forgets its history", fleet.store.forget_history, _nothing
        case "revokes":
            return (
                "the store takes registrations away",
                lambda: fleet.store.revoke("snipewell/"),
                _nothing,
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


def _upstream(fleet: SoakFleet, rng: Random) -> tuple[str, Act, Act]:
    upstream = rng.choice(fleet.upstreams)
    match rng.choice(["crash", "late", "hang", "fail", "slow", "drain"]):
        case "crash":
            return f"{upstream.name} crashes and is reborn", upstream.crash, _nothing
        case "drain":
            return (
                f"{upstream.name} drains",
                lambda: setattr(upstream, "draining", True),
                lambda: setattr(upstream, "draining", False),
            )
        case name:
            faults = {
                "late": OrderFaults(late=0.3),
                "hang": OrderFaults(hang=True),
                "fail": OrderFaults(fail=True),
                "slow": OrderFaults(slow=4.0),
            }[name]
            return (
                f"{upstream.name}: {name}",
                lambda: setattr(upstream, "faults", faults),
                lambda: setattr(upstream, "faults", OrderFaults()),
            )


def draw_fault(fleet: SoakFleet, rng: Random, at_s: float) -> Fault:
    """Return one fault that begins at ``at_s``."""
    daemons = [*fleet.entries, *fleet.agents]
    kind = rng.choice(["kill", "stop", "pause", "links", "links", "store", "upstream", "all"])
    for_s = rng.uniform(0.2, 3.0)
    match kind:
        case "kill":
            drawn = _kill(rng.choice(daemons))
        case "stop":
            drawn = _stop(rng.choice(daemons))
            for_s = rng.uniform(0.5, 5.0)
        case "pause":
            drawn = _pause(rng.choice(daemons))
        case "links":
            drawn = _links(fleet, rng)
        case "store":
            drawn = _store(fleet, rng)
        case "upstream":
            drawn = _upstream(fleet, rng)
        case _:
            drawn = _kill_all(fleet)
    text, begin, end = drawn
    return Fault(text, at_s, for_s, begin, end)
