"""A whole system in one process: posts a request and a job and prints the answers."""

from __future__ import annotations

import curio
import msgspec

from .settings import UpstreamSettings
from .standins.cluster import HOST, Cluster, agent_settings, entry_settings
from .web import Request, Response

ZONES = ("patan", "bhaktapur", "kirtipur")


def build_cluster() -> Cluster:
    """Return the demo's cluster: an entry, an agent and an upstream in each zone."""
    services = ["dye-test", "pickup-booking"]
    return Cluster(
        [entry_settings(f"entry-{zone}", zone) for zone in ZONES],
        [agent_settings(f"agent-{zone}", zone, services=services) for zone in ZONES],
        [UpstreamSettings(name=f"u-agent-{zone}", host=HOST, port=0) for zone in ZONES],
    )


async def declare(cluster: Cluster) -> None:
    """Declare zones and services as an operator does."""
    for zone in ZONES:
        await cluster.put("zones", zone, {"in_service": True})
    await cluster.put("services", "dye-test", {"idempotent": True, "deadline_ms": 5_000})
    await cluster.put("services", "pickup-booking", {"deadline_ms": 5_000})


def request_of(service: str, key: str, payload: object) -> Request:
    """Return a single request."""
    headers = {"idempotency-key": key, "snipewell-team": "intake"}
    body = msgspec.json.encode(payload)
    return Request("POST", f"/v1/services/{service}/requests", {}, headers, body)


def job_of(service: str, key: str, payloads: list[object]) -> Request:
    """Return a job with one task for each of ``payloads``."""
    headers = {"idempotency-key": key, "snipewell-team": "intake"}
    body = msgspec.json.encode({"service": service, "tasks": payloads})
    return Request("POST", "/v1/jobs", {}, headers, body)


def show(what: str, response: Response) -> None:
    """Print one answer."""
    outcome = response.headers.get("snipewell-outcome", "")
    print(f"{what}: {response.status} {outcome} {response.body.decode()}")


async def run_demo() -> None:
    """Start the system, use it, and stop it gracefully."""
    cluster = build_cluster()
    await cluster.start()
    await declare(cluster)
    booking = request_of("pickup-booking", "pickup-1", {"ms": 60, "reply": {"van": 7}})
    show("request", await cluster.request(booking))
    show("the same request again", await cluster.request(booking))
    tasks: list[object] = [{"ms": 50, "reply": {"vat": n, "dye": "ok"}} for n in range(4)]
    show("job", await cluster.request(job_of("dye-test", "vats-1", tasks)))
    cut = await cluster.stop()
    print(f"stopped, {cut} requests cut off")


def main() -> None:
    """Run the demo."""
    curio.run(run_demo)


if __name__ == "__main__":
    main()
