"""The daemons on the platform: ``python -m snipewell.platform entry`` or ``agent``."""

from __future__ import annotations

import sys
from random import SystemRandom

import curio

from ..clock import SystemClock
from ..log import Log
from ..logbuffer import LogBuffer
from ..settings import SettingsError
from .boot import Boot, read_boot
from .store import PlatformStore

METRICS_PORT = 9464
"""Port of the metrics, the same as in ``deploy/system.toml``."""
STORE_TIMEOUT_MS = 800.0
"""Wait for the store, which answers in 4 ms, and in 300 ms on its slow days."""
SETTINGS_ERROR_STATUS = 2


def _run_entry(boot: Boot, log: Log, buffer: LogBuffer) -> None:
    from ..jobentryd import JobEntry, JobEntrySettings
    from ..server import ServerLimits
    from .configuration import OPERATOR_KEYS
    from .front import CLIENT_LIMITS, Front

    settings = JobEntrySettings(
        boot.name,
        boot.zone,
        boot.client_address,
        boot.readiness_address,
        f"{boot.ip}:{boot.first_port}",
        METRICS_PORT,
        boot.grace_ms,
    )
    clock = SystemClock()
    store = PlatformStore(boot.store_address, clock, STORE_TIMEOUT_MS)
    entry = JobEntry(settings, store, OPERATOR_KEYS, clock, SystemRandom(), log, buffer)
    front = Front(entry)
    limits: ServerLimits = CLIENT_LIMITS
    curio.run(entry.run, front.handle, front.handle_readiness, limits)


def _run_agent(boot: Boot, log: Log, buffer: LogBuffer) -> None:
    from ..jobagentd import JobAgent, JobAgentSettings
    from .configuration import EVACUATION_KEYS
    from .registration import Registrar
    from .upstream import UpstreamClient

    settings = JobAgentSettings(
        boot.name,
        boot.zone,
        boot.registration_address,
        METRICS_PORT,
        boot.max_hold_ms,
        boot.grace_ms,
    )
    clock = SystemClock()
    store = PlatformStore(boot.store_address, clock, STORE_TIMEOUT_MS)
    agent = JobAgent(
        settings, store, EVACUATION_KEYS, UpstreamClient(), clock, SystemRandom(), log, buffer
    )
    curio.run(agent.run, Registrar(agent, log).handle)


def main() -> None:
    """Run the role named by the first argument; exit with status 2 if the settings are unusable."""
    roles = {"entry": _run_entry, "agent": _run_agent}
    role = sys.argv[1] if len(sys.argv) == 2 else ""
    if role not in roles:
        sys.exit("usage: python -m snipewell.platform entry|agent")
    buffer = LogBuffer(sys.stdout.fileno())
    try:
        boot = read_boot()
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(SETTINGS_ERROR_STATUS)
    roles[role](boot, Log("info", buffer.add, node=boot.name), buffer)


main()
