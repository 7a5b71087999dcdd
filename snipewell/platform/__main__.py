"""Command line of the daemons on the platform: ``python -m snipewell.platform entry`` or ``agent``.

``python -m snipewell.platform check FILE`` validates a settings file without starting a daemon.

The listening socket is opened before the modules of the daemon are imported, so that connections
are queued by the kernel during the start.
"""

from __future__ import annotations

import gc
import signal
import socket
import sys

from ..address import split_address
from ..errors import SettingsError
from ..listener import open_listener
from ..selector import LazySelector
from .boot import BootSettings, read_boot_settings

METRICS_PORT = 9464
"""TCP port of the metrics endpoint, the same as in ``deploy/system.toml``."""
STORE_TIMEOUT_MS = 800.0
"""Timeout of a call to the metadata store, which responds in 4 ms normally and in 300 ms when it is
slow."""
WATCH_TIMEOUT_MS = 500.0
"""Timeout of the answer to a watch beyond its wait. Changes are answered during the wait, so a late
answer has none."""
SETTINGS_ERROR_STATUS = 2
"""Exit status for settings that are missing or invalid."""


def _run_entry(boot: BootSettings, listener: socket.socket) -> None:
    from random import Random

    import curio

    from ..clock import SystemClock
    from ..jobentryd import JobEntry, JobEntrySettings
    from ..log import Log
    from ..logbuffer import LogBuffer
    from .configuration import OPERATOR_KEYS
    from .frontend import CLIENT_LIMITS, Frontend
    from .store import PlatformStore

    settings = JobEntrySettings(
        boot.name,
        boot.zone,
        boot.readiness_address,
        f"{boot.ip}:{boot.first_port}",
        METRICS_PORT,
        boot.grace_ms,
        boot.spread_factor,
    )
    clock = SystemClock()
    buffer = LogBuffer(sys.stdout.fileno())
    log = Log("info", buffer.add, node=boot.name)
    store = PlatformStore(boot.store_address, clock, STORE_TIMEOUT_MS, WATCH_TIMEOUT_MS)
    entry = JobEntry(settings, store, OPERATOR_KEYS, clock, Random(), log, buffer)
    frontend = Frontend(entry)
    curio.run(
        entry.run,
        frontend.handle,
        frontend.handle_readiness,
        CLIENT_LIMITS,
        listener,
        selector=LazySelector(),
    )


def _run_agent(boot: BootSettings, listener: socket.socket) -> None:
    from random import Random

    import curio

    from ..clock import SystemClock
    from ..jobagentd import JobAgent, JobAgentSettings
    from ..log import Log
    from ..logbuffer import LogBuffer
    from .configuration import ZONE_KEYS
    from .registration import Registrar
    from .store import PlatformStore
    from .upstream import ExpectedUpstream, UpstreamClient

    settings = JobAgentSettings(
        boot.name, boot.zone, METRICS_PORT, boot.max_lease_ms, boot.grace_ms
    )
    clock = SystemClock()
    buffer = LogBuffer(sys.stdout.fileno())
    log = Log("info", buffer.add, node=boot.name)
    if not boot.upstream_accepts_calls:
        log.error("agent", "unsupported upstream", reason="it polls for orders with its heartbeats")
    store = PlatformStore(boot.store_address, clock, STORE_TIMEOUT_MS, WATCH_TIMEOUT_MS)
    upstream = UpstreamClient()
    agent = JobAgent(settings, store, ZONE_KEYS, upstream, clock, Random(), log, buffer)
    expected = ExpectedUpstream(boot.service, boot.upstream_address)
    registrar = Registrar(agent, log, expected)
    curio.run(agent.run, registrar.handle, listener, selector=LazySelector())


def main() -> None:
    """Run the daemon named by the first argument; exit with status 2 on invalid settings."""
    # The settings file may change while the process starts and reads it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports create no garbage worth collecting; `freeze_memory` enables the collector again.
    gc.disable()
    try:
        match sys.argv[1:]:
            case ["entry"]:
                boot = read_boot_settings()
                _run_entry(boot, _listen(boot.client_address))
            case ["agent"]:
                boot = read_boot_settings()
                _run_agent(boot, _listen(boot.registration_address))
            case ["check", file]:
                print(f"{file}: valid settings of {read_boot_settings(file).name}")
            case _:
                sys.exit("usage: python -m snipewell.platform entry|agent|check FILE")
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(SETTINGS_ERROR_STATUS)


def _listen(address: str) -> socket.socket:
    try:
        host, port = split_address(address)
    except ValueError as error:
        raise SettingsError("settings", None, "listenAddresses", str(error)) from None
    return open_listener(host, port)


main()
