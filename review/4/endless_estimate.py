"""A client that can't estimate its tasks states the largest number there is as their estimate."""

from __future__ import annotations

import sys
from pathlib import Path

import curio
import msgspec

from review.fleet import PREFIX, Fleet, main
from snipewell.client import ExchangeError, NotSentError, fetch
from snipewell.web import Request

RESEND_S = 1.3
"""``resendIntervalMs``: time after which a client without a response sends its job again."""
RESPONSE_S = 1.5
"""How long that client waits for a response (``Snipewell-Deadline-Ms``)."""


async def send_unknown_estimate(fleet: Fleet) -> None:
    """Send the job as the pages say: again, to any entry, as long as there is no response."""
    job = fleet.new_id()
    step = {"count": 2, "cpu": 1_000, "memMb": 10, "estimatedMs": sys.float_info.max}
    body = {"specification": '{"ms": 50}', "bestEffort": True, "steps": [step]}
    headers = {"host": "jobs.example", "content-type": "application/json"}
    headers["snipewell-deadline-ms"] = str(int(RESPONSE_S * 1000))
    for entry in fleet.entries:
        request = Request("POST", f"{PREFIX}{job}", {}, headers, msgspec.json.encode(body))
        fleet.note(f"no estimate: POST {PREFIX}{job} to {entry.name}: {body}")
        try:
            response = await fetch(fleet.address(entry, 8161), request, RESPONSE_S * 1000)
        except (NotSentError, ExchangeError) as error:
            fleet.note(f"no estimate: no response: {error}")
            await curio.sleep(RESEND_S)
            continue
        fleet.note(f"no estimate: got {response.status} {response.body!r}")
        return


async def play(fleet: Fleet, trouble: bool) -> bool:
    """Send the job to the entries, and then ordinary jobs of other clients."""
    if trouble:
        await send_unknown_estimate(fleet)
    await curio.sleep(1.0)
    statuses = []
    for _ in range(4):
        for entry in fleet.entries:
            client = await curio.spawn(fleet.submit, entry, fleet.new_id(), 2, 100.0)
            statuses.append(client)
    answers = [(await client.join())[0] for client in statuses]
    for entry in fleet.entries:
        assert entry.process is not None
        ready = await fetch(fleet.address(entry, 8167), Request("GET", "/snipewell/readiness"), 2e3)
        fleet.note(f"{entry.name}: exit status {entry.process.poll()}, readiness {ready.status}")
    fleet.note(f"statuses of the ordinary jobs: {answers}")
    return any(status == 200 for status in answers)


main(str(Path(__file__).parent), play, [PREFIX], entries=2)
