"""The daemons on the platform: ``python -m snipewell.platform entry`` or ``agent``.

``python -m snipewell.platform check FILE`` reads a settings file without using it.

The listening socket is opened first; the modules of the daemon are loaded after that.
"""

from __future__ import annotations

import socket
import sys

from ..errors import SettingsError
from ..listener import open_listener
from .boot import Boot, read_boot

METRICS_PORT = 9464
"""Port of the metrics, the same as in ``deploy/system.toml``."""
STORE_TIMEOUT_MS = 800.0
"""Wait for the store, which answers in 4 ms, and in 300 ms on its slow days."""
SETTINGS_ERROR_STATUS = 2


def _run_entry(boot: Boot, listener: socket.socket) -> None:
    from random import Random

    import curio

    from ..clock import SystemClock
    from ..jobentryd import JobEntry, JobEntrySettings
    from ..log import Log
    from ..logbuffer import LogBuffer
    from .configuration import OPERATOR_KEYS
    from .front import CLIENT_LIMITS, Front
    from .store import PlatformStore

    settings = JobEntrySettings(
        boot.name,
        boot.zone,
        boot.readiness_address,
        f"{boot.ip}:{boot.first_port}",
        METRICS_PORT,
        boot.grace_ms,
    )
    clock = SystemClock()
    buffer = LogBuffer(sys.stdout.fileno())
    log = Log("info", buffer.add, node=boot.name)
    store = PlatformStore(boot.store_address, clock, STORE_TIMEOUT_MS)
    entry = JobEntry(settings, store, OPERATOR_KEYS, clock, Random(), log, buffer)
    front = Front(entry)
    curio.run(entry.run, front.handle, front.handle_readiness, CLIENT_LIMITS, listener)


def _run_agent(boot: Boot, listener: socket.socket) -> None:
    from random import Random

    import curio

    from ..clock import SystemClock
    from ..jobagentd import JobAgent, JobAgentSettings
    from ..log import Log
    from ..logbuffer import LogBuffer
    from .configuration import EVACUATION_KEYS
    from .registration import Registrar
    from .store import PlatformStore
    from .upstream import UpstreamClient

    settings = JobAgentSettings(boot.name, boot.zone, METRICS_PORT, boot.max_hold_ms, boot.grace_ms)
    clock = SystemClock()
    buffer = LogBuffer(sys.stdout.fileno())
    log = Log("info", buffer.add, node=boot.name)
    if not boot.orders_by_call:
        log.error("agent", "the upstream is not served", reason="it fetches orders by heartbeats")
    store = PlatformStore(boot.store_address, clock, STORE_TIMEOUT_MS)
    orders = UpstreamClient()
    agent = JobAgent(settings, store, EVACUATION_KEYS, orders, clock, Random(), log, buffer)
    curio.run(agent.run, Registrar(agent, log).handle, listener)


def main() -> None:
    """Run the role named by the first argument; exit with status 2 if the settings are unusable."""
    try:
        match sys.argv[1:]:
            case ["entry"]:
                boot = read_boot()
                _run_entry(boot, _listen(boot.client_address))
            case ["agent"]:
                boot = read_boot()
                _run_agent(boot, _listen(boot.registration_address))
            case ["check", file]:
                print(f"{file}: valid settings of {read_boot(file).name}")
            case _:
                sys.exit("usage: python -m snipewell.platform entry|agent|check FILE")
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(SETTINGS_ERROR_STATUS)


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError("settings", None, "listenAddresses", "expected an address to serve")
    return open_listener(host, int(port))


main()
