"""Guards against faults of a VM that leave no trace in the log."""

from __future__ import annotations

import curio

from snipewell.clock import ManualClock
from snipewell.daemon import MIN_SUSPENSION_MS, TICK_MS, CoreTask
from snipewell.log import Log


class SuspendedClock(ManualClock):
    """A clock whose VM was suspended for ``total_ms``."""

    def __init__(self) -> None:
        super().__init__()
        self.total_ms = 7_000.0

    def suspended_ms(self) -> float:
        return self.total_ms


def test_a_suspension_of_the_vm_is_logged_once() -> None:
    """A suspended VM was indistinguishable from a paused process and from a cut link."""
    lines: list[dict[str, object]] = []
    clock = SuspendedClock()

    async def perform() -> None:
        pass

    async def scenario() -> None:
        task = CoreTask(clock, perform, Log("info", lines.append))
        ticks = await curio.spawn(task.run_ticks, lambda now_ms: None, lambda: TICK_MS)
        await curio.sleep(2 * TICK_MS / 1000)
        assert lines == []
        clock.total_ms += MIN_SUSPENSION_MS + 2_000.0
        await curio.sleep(4 * TICK_MS / 1000)
        await ticks.cancel()

    curio.run(scenario)
    [line] = lines
    assert line["message"] == "clock: the VM was suspended"
    assert line["for_ms"] == MIN_SUSPENSION_MS + 2_000.0
