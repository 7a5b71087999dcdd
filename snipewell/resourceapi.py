"""Controller of the resource API: list, get, put, delete, watch and status over the store.

Reads return the resources applied on this entry. Writes go to the store by compare-and-swap;
requests for one kind that arrive while a write is in progress are batched into the next one.
"""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar
from urllib.parse import unquote

import curio
import msgspec

from .change import ChangeResult, ChangeState, ResourceChange, WritePlan, collect_parts
from .clock import Clock
from .configuration import Configuration
from .errors import MessageError
from .group import StoredResource, encode_part, part_key, part_of
from .ids import Revision
from .outcome import Invalid, SnipewellError
from .resource import Condition, Document, Kind, SpecError, Status, parse_spec, split_error
from .restore import is_behind, restore
from .server import response_from_invalid
from .store import (
    Store,
    StoreConflictError,
    StoreError,
    StoreUnknownError,
    StoreUnreachableError,
)
from .watch import WatchStream
from .web import Request, Response

DEFAULT_WAIT_MS = 2_000
"""Default time for which a write waits until it is in force."""
MAX_WAIT_MS = 30_000
"""Longest time for which a client may let a write wait until it is in force."""
MAX_WRITE_ATTEMPTS = 8
"""A write that conflicts with other writers this many times in a row fails with an error."""
INITIAL_BACKOFF_MS = 20
"""Bound of the random delay after the first conflict; it doubles with each attempt."""
MAX_BATCH = 256
"""Most sets of changes that are written to the store together."""
MAX_WATCHES = 200
"""Most watch streams that are open on this entry at the same time."""

T = TypeVar("T")
WaitInForce = Callable[[Revision, float], Awaitable[bool]]


class RevisionCounts(msgspec.Struct, frozen=True):
    """Numbers of voters and of agents that have a revision, and the totals of both."""

    entries_at_revision: int
    entries: int
    agents_at_revision: int
    agents: int


class PutBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of PUT; without ``resource_version`` the resource is written unconditionally."""

    spec: dict[str, object]
    resource_version: int | None = None


class ChangeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One change of a set; a ``spec`` of null deletes the resource."""

    name: str
    spec: dict[str, object] | None
    resource_version: int | None = None


class SetBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of POST to a kind: changes that are applied as a whole or not at all."""

    changes: list[ChangeBody]


@dataclass(slots=True)
class _PendingSet:
    """A set of changes that waits to be written, and its result."""

    changes: Sequence[ResourceChange]
    done: curio.Event = field(default_factory=curio.Event)
    change_results: list[ChangeResult] = field(default_factory=list)
    revision: Revision = Revision(0)
    error: SnipewellError | None = None


class _RejectedRequestError(Exception):
    """The request is rejected with the outcome ``invalid``."""

    def __init__(self, invalid: Invalid) -> None:
        super().__init__(invalid.reason)
        self.invalid = invalid


class ResourceApi:
    """Serves ``/v1/<kind>`` and ``/v1/<kind>/<name>``.

    ``wait_in_force`` waits until a majority of voters has a revision, for at most a time in ms;
    ``count`` returns the number of voters and agents that have it now. ``extra_conditions`` returns
    additional conditions for a resource's status. With a ``token``, writes must carry it.
    """

    def __init__(
        self,
        store: Store,
        configuration: Configuration,
        clock: Clock,
        rng: Random,
        wait_in_force: WaitInForce,
        count: Callable[[Revision], RevisionCounts],
        token: str | None = None,
        extra_conditions: Callable[[Kind, str], list[Condition]] | None = None,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._clock = clock
        self._rng = rng
        self._wait_in_force = wait_in_force
        self._count = count
        self._token = token
        self._extra_conditions = extra_conditions
        self._pending: dict[Kind, list[_PendingSet]] = {kind: [] for kind in Kind}
        self._writing: set[Kind] = set()
        self._watches = 0

    async def handle(self, request: Request) -> Response:
        """Return the response to one request to a path of the resource API."""
        try:
            return await self._route(request)
        except _RejectedRequestError as error:
            return response_from_invalid(error.invalid)
        except SpecError as error:
            return response_from_invalid(Invalid(400, error.reason, error.field))
        except SnipewellError as error:
            return respond_error(error)

    async def _route(self, request: Request) -> Response:
        parts = request.path.split("/")[2:]
        try:
            kind = Kind(parts[0])
        except (ValueError, IndexError):
            raise _rejection(404, f"no such path: {request.path[:200]}", "path") from None
        name = unquote(parts[1]) if len(parts) > 1 else ""
        if len(parts) > 2:
            raise _rejection(404, f"no such path: {request.path[:200]}", "path")
        match request.method:
            case "GET" | "HEAD":
                return self._get(kind, name) if name else self._list(kind, request)
            case "PUT" if name:
                return await self._write_set(kind, [self._parse_put(kind, name, request)], request)
            case "DELETE" if name:
                version = _parse_integer(request, "resource_version")
                return await self._write_set(kind, [ResourceChange(name, None, version)], request)
            case "POST" if not name:
                return await self._write_set(kind, self._parse_set(kind, request), request, True)
        raise _rejection(405, "expected GET, PUT or DELETE of a name, or POST to a kind", "method")

    def _list(self, kind: Kind, request: Request) -> Response:
        if request.query.get("watch") in ("1", "true"):
            return self._watch(kind)
        items = self._configuration.items(kind)
        documents = [self.document(kind, name, items[name]) for name in sorted(items)]
        body = {"kind": kind, "revision": self._configuration.revision, "items": documents}
        return Response.from_json(200, body)

    def _get(self, kind: Kind, name: str) -> Response:
        item = self._configuration.items(kind).get(name)
        if item is None:
            raise _rejection(404, f"no such resource: {kind.value}/{name[:80]}", "name")
        return Response.from_json(200, self.document(kind, name, item))

    def document(self, kind: Kind, name: str, item: StoredResource) -> Document:
        """Return the resource ``name`` with its status."""
        part = part_of(name, self._configuration.parts(kind))
        revision = self._configuration.part_revision(part_key(kind, part))
        counts = self._count(revision)
        in_force = counts.entries_at_revision >= counts.entries // 2 + 1
        reason = f"{counts.entries_at_revision} of {counts.entries} entries are at the revision"
        conditions = [Condition("InForce", in_force, "" if in_force else reason)]
        if self._extra_conditions is not None:
            conditions += self._extra_conditions(kind, name)
        status = Status(
            item.generation,
            conditions,
            counts.entries_at_revision,
            counts.entries,
            counts.agents_at_revision,
            counts.agents,
        )
        return Document(kind, name, item.version, item.generation, item.spec, status)

    def _watch(self, kind: Kind) -> Response:
        if self._watches >= MAX_WATCHES:
            raise _rejection(503, f"more than {MAX_WATCHES} watches; this one was not accepted")
        self._watches += 1
        stream = WatchStream(
            self._clock,
            lambda: self._configuration.revision,
            lambda: self._configuration.items(kind),
            lambda name, item: self.document(kind, name, item),
            self._on_watch_end,
        )
        return Response(200, {"content-type": "application/jsonl"}, stream=stream)

    def _on_watch_end(self) -> None:
        self._watches -= 1

    def _parse_put(self, kind: Kind, name: str, request: Request) -> ResourceChange:
        body = _decode(request, PutBody)
        spec = {"name": name, **body.spec}
        if spec["name"] != name:
            reason = f"expected {name!r} as in the path, got {spec['name']!r}"
            raise _rejection(400, reason, "spec.name")
        return self._parse_change(kind, "spec", ChangeBody(name, spec, body.resource_version))

    def _parse_set(self, kind: Kind, request: Request) -> list[ResourceChange]:
        changes = _decode(request, SetBody).changes
        names = [change.name for change in changes]
        for index, name in enumerate(names):
            if name in names[:index]:
                raise _rejection(400, f"expected each name once, got {name!r} twice", "changes")
        return [self._parse_change(kind, f"changes[{i}].spec", c) for i, c in enumerate(changes)]

    def _parse_change(self, kind: Kind, field_path: str, body: ChangeBody) -> ResourceChange:
        if body.spec is None:
            return ResourceChange(body.name, None, body.resource_version)
        try:
            spec = parse_spec(kind, {"name": body.name, **body.spec})
        except SpecError as error:
            raise SpecError(f"{field_path}.{error.field}".rstrip("."), error.reason) from None
        return ResourceChange(spec.name, spec, body.resource_version)

    async def _write_set(
        self, kind: Kind, changes: list[ResourceChange], request: Request, is_set: bool = False
    ) -> Response:
        """Apply a set of changes, wait until it is in force, and return the response."""
        if self._token is not None:
            credentials = request.headers.get("authorization", "")
            if not hmac.compare_digest(credentials.encode(), f"Bearer {self._token}".encode()):
                raise _rejection(401, "expected the operators' token as a bearer token")
        dry_run = request.query.get("dry_run") in ("1", "true")
        wait_ms = min(_parse_integer(request, "wait_ms", DEFAULT_WAIT_MS) or 0, MAX_WAIT_MS)
        pending = _PendingSet(changes)
        if dry_run:
            plan, pending.revision = await self._plan(kind, [pending])
        else:
            await self._commit(kind, pending)
        if pending.error is not None:
            raise pending.error
        conflict = any(result.state is ChangeState.CONFLICT for result in pending.change_results)
        if (
            not is_set
            and pending.change_results[0].state is ChangeState.UNCHANGED
            and not changes[0].spec
        ):
            raise _rejection(404, f"no such resource: {kind.value}/{changes[0].name[:80]}", "name")
        in_force = False
        if not conflict and not dry_run:
            in_force = await self._wait_in_force(pending.revision, wait_ms)
        status = 409 if conflict else 200 if in_force or dry_run else 202
        body = {
            "revision": pending.revision,
            "in_force": in_force,
            "dry_run": dry_run,
            "results": [_result_body(kind, result) for result in pending.change_results],
        }
        if conflict:
            body |= {"outcome": "conflict", "reason": "a resource changed since it was read"}
        return Response.from_json(status, body)

    async def _commit(self, kind: Kind, pending: _PendingSet) -> None:
        """Queue a set for the kind's writer task and wait for the result.

        The writer is a task of its own, so a request that is cancelled stops no write.
        """
        self._pending[kind].append(pending)
        if kind not in self._writing:
            self._writing.add(kind)
            await curio.spawn(self._write_pending, kind, daemon=True)
        await pending.done.wait()

    async def _write_pending(self, kind: Kind) -> None:
        try:
            while self._pending[kind]:
                batch = self._pending[kind][:MAX_BATCH]
                del self._pending[kind][:MAX_BATCH]
                try:
                    await self._write_batch(kind, batch)
                except SnipewellError as error:
                    for pending in batch:
                        pending.error = error
                for pending in batch:
                    await pending.done.set()
        finally:
            self._writing.discard(kind)

    async def _write_batch(self, kind: Kind, batch: list[_PendingSet]) -> None:
        """Write sets of changes to the store; raise StoreError if that fails or is not certain."""
        first_results: list[list[ChangeResult]] = []
        has_written = False
        for attempt in range(MAX_WRITE_ATTEMPTS):
            try:
                plan, revision = await self._plan(kind, batch)
                for write in plan.writes():
                    value = encode_part(write.content)
                    revision = await self._store.compare_and_swap(
                        write.key, value, write.if_revision
                    )
                    first_results, has_written = first_results or plan.change_results, True
            except StoreConflictError:
                pass
            except StoreUnknownError as error:
                if not error.changed:
                    raise
                first_results = first_results or plan.change_results
            except StoreUnreachableError as error:
                if has_written:
                    raise StoreUnknownError(error.peer, error.reason, False) from None
                raise
            else:
                for pending, earlier in zip(
                    batch, first_results or plan.change_results, strict=True
                ):
                    pending.change_results = _merge_results(earlier, pending.change_results)
                    pending.revision = Revision(max(revision, pending.revision))
                return
            await curio.sleep(self._rng.uniform(0, INITIAL_BACKOFF_MS * 2**attempt) / 1000)
        reason = f"{kind.value}: other writers came first {MAX_WRITE_ATTEMPTS} times"
        raise StoreUnreachableError("store", reason)

    async def _plan(self, kind: Kind, batch: list[_PendingSet]) -> tuple[WritePlan, Revision]:
        """Read ``kind``, set the results of ``batch``, and return the plan and a revision.

        This is the highest revision in the store of the parts to which the changes belong.
        """
        prefix = part_key(kind)
        listing = await self._store.list(prefix)
        if is_behind(self._configuration, listing.revision, listing.values, prefix):
            await restore(self._store, self._configuration)
            listing = await self._store.list(prefix)
        values = {key: (int(v.revision), v.value) for key, v in listing.values.items()}
        try:
            parts = collect_parts(kind, values, self._configuration)
        except MessageError as error:
            raise StoreError("store", f"{kind.value}: unreadable value: {error}") from None
        plan = WritePlan(kind, parts, listing.revision)
        for pending in batch:
            plan.add(pending.changes)
        for pending, change_results in zip(batch, plan.change_results, strict=True):
            pending.change_results = change_results
            pending.revision = plan.revision_of(pending.changes)
        return plan, Revision(max((p.revision for p in batch), default=Revision(0)))


def _merge_results(earlier: list[ChangeResult], after: list[ChangeResult]) -> list[ChangeResult]:
    """Return the results of changes that were written in several attempts.

    A change that the last attempt found unchanged was applied by an earlier one, whose
    state counts.
    """
    return [
        ChangeResult(new.name, old.state, new.item) if new.state is ChangeState.UNCHANGED else new
        for old, new in zip(earlier, after, strict=True)
    ]


def _result_body(kind: Kind, result: ChangeResult) -> dict[str, object]:
    body: dict[str, object] = {
        "kind": kind,
        "name": result.name,
        "state": result.state,
        "resource_version": result.item.version if result.item is not None else 0,
    }
    if result.item is not None:
        body |= {"generation": result.item.generation, "spec": result.item.spec}
    return body


def _decode(request: Request, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(request.body, type=kind)
    except msgspec.ValidationError as error:
        raise split_error(error) from None
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _rejection(400, f"expected JSON: {error}", "body") from None


def _parse_integer(request: Request, name: str, default: int | None = None) -> int | None:
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise _rejection(400, f"expected a number of at least 0, got {text[:40]!r}", name)
    return int(text)


def _rejection(status: int, reason: str, field: str = "") -> _RejectedRequestError:
    return _RejectedRequestError(Invalid(status, reason, field))


def respond_error(error: SnipewellError) -> Response:
    """Return 503 if ``error`` proves that nothing was written, otherwise 504."""
    certain = isinstance(error, StoreUnreachableError)
    body = {
        "outcome": "not_written" if certain else "unknown",
        "step": error.step.value,
        "peer": error.peer,
        "reason": error.reason,
    }
    return Response.from_json(503 if certain else 504, body, {"retry-after": "1"})
