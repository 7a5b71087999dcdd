"""Checks of a configuration that decodes: entries that can never match and contradictory limits.

The functions decide on decoded values only; `check` reads the files. A finding is certain from the
checked values: what depends on agents, labels or racks that the status doesn't report is left out.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from .address import split_address
from .admission import AdmissionLimits
from .decoding import decode_json
from .errors import MessageError
from .ids import TeamName
from .job import Catalog, Queue
from .manifest import DeclaredResource, Manifest
from .platform.boot import BootSettings
from .platform.jobs import MAX_SPECIFICATION_BYTES
from .resource import (
    SPEC_TYPES,
    Document,
    Kind,
    ServiceSpec,
    Spec,
    TeamSpec,
    UpstreamSpec,
    ZoneSpec,
)
from .settings import EntrySettings, HttpSettings, Settings

MIN_TASK_BYTES = 2
"""Fewest bytes of a task in the JSON list of a job: one for the value and one for the separator."""


class Finding(msgspec.Struct, frozen=True, tag_field="type"):
    """Base class of the findings: the place in ``file`` and the reason, with the expected value.

    ``path`` is the path in the document, and ``line`` is None if the line isn't known.
    """

    file: str
    path: str
    reason: str
    line: int | None = None

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line is not None else self.file
        return f"{place}: {self.path}: {self.reason}" if self.path else f"{place}: {self.reason}"


class Unreadable(Finding, frozen=True, tag="unreadable"):
    """The file can't be read, or isn't a valid configuration."""


class NeverMatches(Finding, frozen=True, tag="never_matches"):
    """An entry that no submission or task can match."""


class LimitConflict(Finding, frozen=True, tag="limit_conflict"):
    """A limit that contradicts another one."""


class DuplicateName(Finding, frozen=True, tag="duplicate_name"):
    """A route with the name of another one; pending jobs are counted by name."""


AnyFinding = Unreadable | NeverMatches | LimitConflict | DuplicateName


@dataclass(frozen=True, slots=True)
class CatalogFile:
    """A configuration of the users' platform, as a JSON document and decoded."""

    file: str
    document: dict[str, object]
    catalog: Catalog


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """Settings of the daemon called ``daemon``."""

    file: str
    daemon: str
    settings: Settings


@dataclass(frozen=True, slots=True)
class BootFile:
    """Settings of a daemon on the users' platform, decoded and as texts by their names."""

    file: str
    settings: BootSettings
    fields: dict[str, str]


@dataclass(slots=True)
class Sources:
    """The decoded content of files, by format, and the errors of those that don't decode."""

    manifest: Manifest | None = None
    catalogs: list[CatalogFile] = field(default_factory=list)
    settings: list[SettingsFile] = field(default_factory=list)
    boots: list[BootFile] = field(default_factory=list)
    errors: list[Unreadable] = field(default_factory=list)
    summaries: list[str] = field(default_factory=list)


def escape_unprintable(text: str) -> str:
    """Return ``text`` with control characters and lone surrogates escaped, for a terminal."""
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)


def escape_finding(finding: AnyFinding) -> AnyFinding:
    """Return ``finding`` with texts that can be printed and encoded, whatever the file held."""
    file, path, reason = map(escape_unprintable, (finding.file, finding.path, finding.reason))
    return msgspec.structs.replace(finding, file=file, path=path, reason=reason)


def check_sources(sources: Sources, in_force: Sequence[Document] = ()) -> list[AnyFinding]:
    """Return the findings of all sources; ``in_force`` are the stored resources, if known."""
    findings: list[AnyFinding] = [*sources.errors]
    entries = [s.settings for s in sources.settings if isinstance(s.settings, EntrySettings)]
    if sources.manifest is not None:
        findings += check_manifest(sources.manifest, in_force, entries)
    for catalog in sources.catalogs:
        findings += check_catalog(catalog)
    for boot in sources.boots:
        findings += check_boot(boot)
    return findings


def check_manifest(
    manifest: Manifest, in_force: Sequence[Document], entries: Sequence[EntrySettings]
) -> Iterator[AnyFinding]:
    """Yield the findings of declared resources, together with what is in force.

    The limit of a body is the lowest one of ``entries``, or the default if there are none.
    """
    specs = merge_specs(manifest, in_force)
    teams = [spec for spec in specs[Kind.TEAM].values() if isinstance(spec, TeamSpec)]
    quotas = [team.max_tasks_in_flight for team in teams]
    # A client account without a resource has the default quota.
    largest_quota = max([*quotas, TeamSpec(TeamName("default")).max_tasks_in_flight])
    for declared in manifest.resources:
        if isinstance(declared.spec, ServiceSpec):
            yield from _check_places(declared, declared.spec, specs)
            yield from _check_service_limits(declared, declared.spec, entries, largest_quota)
    limit = AdmissionLimits().max_waiting
    first = next((d for d in manifest.resources if d.kind is Kind.TEAM), None)
    if first is not None and sum(quotas) > limit:
        reason = f"expected a sum of at most {limit}, the tasks that may wait, got {sum(quotas)}"
        yield LimitConflict(first.file, "teams.max_tasks_in_flight", reason, first.line)


def merge_specs(manifest: Manifest, in_force: Sequence[Document]) -> dict[Kind, dict[str, Spec]]:
    """Return the specs by kind and name that would be in force after applying ``manifest``.

    A stored spec that this version can't decode is left out.
    """
    specs: dict[Kind, dict[str, Spec]] = {kind: {} for kind in Kind}
    stored = {(d.kind, d.name): d for d in in_force}
    for document in in_force:
        try:
            spec = decode_json(bytes(document.spec), SPEC_TYPES[document.kind])
        except MessageError:
            continue
        specs[document.kind][document.name] = spec
    for declared in manifest.resources:
        spec, kind = declared.spec, declared.kind
        earlier = specs[kind].get(spec.name)
        # As in `manifest.compare`, an unstated flag keeps the value in force.
        if (
            isinstance(spec, ZoneSpec | UpstreamSpec)
            and isinstance(earlier, ZoneSpec | UpstreamSpec)
            and (kind, spec.name) in stored
            and "in_service" not in declared.explicit_fields
        ):
            spec = msgspec.structs.replace(spec, in_service=earlier.in_service)
        specs[kind][spec.name] = spec
    return specs


def _check_places(
    declared: DeclaredResource, service: ServiceSpec, specs: Mapping[Kind, Mapping[str, Spec]]
) -> Iterator[AnyFinding]:
    """Yield zones that aren't declared, and lists of zones or upstreams all out of service.

    Without any declared zone, the zones aren't part of the checked configuration.
    """
    path = f"services/{service.name}"
    zones = specs[Kind.ZONE]
    for index, zone in enumerate(service.zones):
        if zones and zone not in zones:
            reason = f"expected a declared zone, got {zone!r}"
            yield NeverMatches(declared.file, f"{path}.zones[{index}]", reason, declared.line)
    for kind, names in ((Kind.ZONE, service.zones), (Kind.UPSTREAM, service.upstreams)):
        found = [specs[kind].get(name) for name in names]
        out = [s for s in found if isinstance(s, ZoneSpec | UpstreamSpec) and not s.in_service]
        if names and len(out) == len(names):
            reason = "expected at least one in service, all are out of service"
            yield NeverMatches(declared.file, f"{path}.{kind.value}", reason, declared.line)


def _check_service_limits(
    declared: DeclaredResource, service: ServiceSpec, entries: Sequence[EntrySettings], quota: int
) -> Iterator[LimitConflict]:
    def conflict(field: str, reason: str) -> LimitConflict:
        path = f"services/{service.name}.{field}"
        return LimitConflict(declared.file, path, reason, declared.line)

    body_bytes = min((e.http.body_bytes for e in entries), default=HttpSettings().body_bytes)
    if service.expected_ms > service.deadline_ms:
        reason = f"expected at least expected_ms ({service.expected_ms}), got {service.deadline_ms}"
        yield conflict("deadline_ms", reason)
    for entry in entries:
        if service.deadline_ms > entry.max_deadline_ms:
            limit = f"max_deadline_ms of entry {entry.name} ({entry.max_deadline_ms})"
            yield conflict("deadline_ms", f"expected at most {limit}, got {service.deadline_ms}")
    if service.max_payload_bytes > body_bytes:
        reason = f"expected at most http.body_bytes of the entries ({body_bytes})"
        yield conflict("max_payload_bytes", f"{reason}, got {service.max_payload_bytes}")
    if service.max_tasks * MIN_TASK_BYTES > body_bytes:
        reason = f"expected at most {body_bytes // MIN_TASK_BYTES}, as many as fit into"
        reason += f" http.body_bytes of the entries ({body_bytes}), got {service.max_tasks}"
        yield conflict("max_tasks", reason)
    if service.max_tasks > quota:
        reason = f"expected at most the largest quota of a client account ({quota})"
        yield conflict("max_tasks", f"{reason}, got {service.max_tasks}")


def check_catalog(source: CatalogFile) -> Iterator[AnyFinding]:
    """Yield the findings of a configuration of the users' platform."""
    services = _declared_services(source.document)
    by_address: dict[tuple[str, str], int] = {}
    by_name: dict[str, int] = {}
    routes = source.document.get("routes")
    documents = routes if isinstance(routes, list) else []
    for index, queue in enumerate(source.catalog.queues):
        path = f"routes[{index}]"
        for field_path, reason in _unmatched(queue, services):
            yield NeverMatches(source.file, f"{path}.{field_path}", reason)
        earlier = by_address.setdefault((queue.host, queue.path_prefix), index)
        if earlier != index:
            reason = f"hidden by routes[{earlier}], which has the same host and prefix"
            yield NeverMatches(source.file, f"{path}.pathPrefix", reason)
        earlier = by_name.setdefault(queue.name, index)
        if earlier != index:
            reason = f"expected a unique name, routes[{earlier}] has the same: {queue.name!r}"
            yield DuplicateName(source.file, f"{path}.name", reason)
        for field_path, reason in _route_conflicts(queue, documents[index]):
            yield LimitConflict(source.file, f"{path}.{field_path}", reason)
    if source.catalog.max_body_bytes < MAX_SPECIFICATION_BYTES:
        reason = f"expected at least {MAX_SPECIFICATION_BYTES}, the largest specification of a job"
        reason += f", got {source.catalog.max_body_bytes}"
        yield LimitConflict(source.file, "limits.maxBodyBytes", reason)
    if source.catalog.max_header_bytes <= 0:
        reason = f"expected more than 0, got {source.catalog.max_header_bytes}"
        yield LimitConflict(source.file, "limits.maxHeaderBytes", reason)


def _declared_services(document: Mapping[str, object]) -> frozenset[str] | None:
    """Return the names of the declared services, None if the document doesn't declare any."""
    services = document.get("services")
    if not isinstance(services, list):
        return None
    return frozenset(str(s["name"]) for s in services if isinstance(s, dict) and "name" in s)


def _unmatched(queue: Queue, services: frozenset[str] | None) -> Iterator[tuple[str, str]]:
    if not queue.host:
        yield "host", "expected a host name; an empty one matches only requests without a host"
    elif ":" in queue.host:
        # Requests are matched by the part of their Host header before the first colon.
        yield "host", f"expected a host name without a port, got {queue.host!r}"
    if not queue.path_prefix.startswith("/") or "?" in queue.path_prefix:
        yield "pathPrefix", f"expected a path from / on without a query, got {queue.path_prefix!r}"
    if services is not None and queue.service not in services:
        yield "service", f"expected a declared service, got {queue.service!r}"
    if queue.unsupported:
        yield "recommendation", "expected none: jobs of such a route are refused"


def _route_conflicts(queue: Queue, route: Mapping[str, object]) -> Iterator[tuple[str, str]]:
    """Yield the contradictions of one route; ``route`` is its JSON object."""
    attempts, timeout_ms = route.get("maxAttempts", 1), route.get("timeoutMs")
    if isinstance(attempts, int) and attempts < 1:
        yield "maxAttempts", f"expected at least 1, got {attempts}"
    if queue.stretch <= 0:
        yield "stretchFactor", f"expected more than 0, got {queue.stretch:g}"
    if queue.latency_ms < 0:
        yield "targetLatencyMs", f"expected at least 0, got {queue.latency_ms:g}"
    elif queue.latency_ms == 0 and 0 < queue.stretch < 1:
        reason = "expected more than 0: with a stretchFactor below 1, every job would be late"
        yield "targetLatencyMs", reason
    if isinstance(timeout_ms, int | float) and not isinstance(timeout_ms, bool):
        needed_ms = queue.latency_ms * queue.max_attempts
        if timeout_ms < queue.latency_ms:
            reason = f"expected at least targetLatencyMs ({queue.latency_ms:g}), got {timeout_ms:g}"
            yield "timeoutMs", reason
        elif timeout_ms < needed_ms:
            reason = f"expected at least {needed_ms:g}, maxAttempts ({queue.max_attempts}) times"
            reason += f" targetLatencyMs ({queue.latency_ms:g}), got {timeout_ms:g}"
            yield "timeoutMs", reason


def check_boot(source: BootFile) -> Iterator[AnyFinding]:
    """Yield the findings of a daemon's settings on the users' platform."""
    boot = source.settings
    for name, value in (("maxHoldMs", boot.max_lease_ms), ("gracePeriodS", boot.grace_ms)):
        if not math.isfinite(value) or value <= 0:
            reason = "expected a finite number above 0"
            yield LimitConflict(source.file, f"bounds.{name}", reason)
    addresses = {
        "listenAddresses.frontend": boot.client_address,
        "listenAddresses.readiness": boot.readiness_address,
        "listenAddresses.controlPlane": boot.registration_address,
        "app": boot.upstream_address,
        "platform.address": boot.store_address,
    }
    for name, address in addresses.items():
        try:
            if address or name == "platform.address":
                split_address(address)
        except ValueError as error:
            yield Unreadable(source.file, name, str(error))
