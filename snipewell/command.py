"""Implementations of the remote commands: call the high-level API, print tables or JSON."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from pathlib import Path
from urllib.parse import unquote, urlsplit

import msgspec

from .address import split_address
from .api import Client, NoRecord, Operator, Running
from .check import decode_catalog_file, read_sources
from .cli import FAILED, OK, UNKNOWN, USAGE, exit_status
from .clock import SystemClock
from .configcheck import (
    AnyFinding,
    Sources,
    Unreadable,
    check_manifest,
    check_sources,
    escape_finding,
    escape_unprintable,
)
from .configdiff import (
    AnyChange,
    diff_boot,
    diff_catalog,
    diff_manifest,
    diff_settings,
    documents_of,
    format_change,
)
from .errors import MessageError
from .manifest import Difference, ManifestError, compare, load_json, read_manifest
from .message import Resources
from .operate import WriteResponse
from .outcome import Complete, Outcome, SnipewellError
from .platform.configuration import CONFIGURATION_KEY
from .platform.store import PlatformStore
from .resource import Document, Kind, SpecError, split_error
from .texttable import format_documents, format_status, format_table, format_writes

STORE_TIMEOUT_MS = 2_000.0
"""Timeout of reading the version in force from the platform's store."""


class JobFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of a job file: ``tasks`` for a job, or ``payload`` for a single request.

    A key on the command line overrides ``key``; the client account is given there only.
    """

    service: str
    tasks: list[object] | None = None
    payload: object = msgspec.UNSET
    key: str = ""
    deadline_ms: float = 10_000
    resources: Resources | None = None


async def apply(
    operator: Operator, path: str, dry_run: bool, prune: bool, output: str, check: bool = False
) -> int:
    """Apply the resource files below ``path`` as the declared state and print the differences.

    With ``check``, nothing is written and the result is 1 if `check_manifest` finds something.
    """
    manifest = read_manifest(path)
    existing = [document for kind in Kind for document in await operator.get(kind)]
    declared = {(resource.kind, resource.spec.name) for resource in manifest.resources}
    kept = [
        document
        for document in existing
        if not prune
        or document.kind not in manifest.kinds
        or (document.kind, document.name) in declared
    ]
    if check and (findings := [escape_finding(f) for f in check_manifest(manifest, kept, [])]):
        if output == "json":
            _print_json({"findings": findings, "changes": diff_manifest(manifest, existing)})
        else:
            _print_findings(findings)
            print("nothing was written")
        return FAILED
    differences = list(compare(manifest, existing, prune))
    if output == "table":
        _print_differences(differences, dry_run)
    written = await operator.apply(differences, dry_run)
    if output == "json":
        _print_json({"differences": differences, "written": written})
    else:
        _print_writes(written)
    return OK


async def check(paths: Sequence[str], against: str, as_json: bool) -> int:
    """Check files and print the findings, and the differences from ``against`` unless it is empty.

    ``against`` is a file, a directory, or the address of an entry for resources and of the store
    for configurations of the users' platform. Returns 1 with findings, and 2 if something can't be
    read.
    """
    sources = read_sources(paths)
    in_force: list[Document] = []
    changes: list[AnyChange] = []
    if against and not sources.errors:
        try:
            earlier, in_force = await _read_against(against, sources)
            changes = _diff_sources(earlier, in_force, sources, against)
        except ManifestError as error:
            sources.errors.append(Unreadable(error.file, error.field, error.reason, error.line))
        except SnipewellError as error:
            sources.errors.append(Unreadable(against, "", str(error)))
        except (MessageError, msgspec.MsgspecError, ValueError, RecursionError) as error:
            sources.errors.append(Unreadable(against, "", f"invalid content: {error}"))
    findings = [escape_finding(finding) for finding in check_sources(sources, in_force)]
    if as_json:
        _print_json({"findings": findings, "changes": changes})
    else:
        _print_findings(findings)
        for summary in sources.summaries:
            print(escape_unprintable(summary))
        if against and not sources.errors:
            for line in (line for change in changes for line in format_change(change)):
                print(escape_unprintable(line))
            print(f"changes from {escape_unprintable(against)}: {len(changes)}")
    if any(isinstance(finding, Unreadable) for finding in findings):
        return USAGE
    return FAILED if findings else OK


async def _read_against(against: str, sources: Sources) -> tuple[Sources, list[Document]]:
    """Return the version in force and, for resources, its documents.

    Raises ManifestError or SnipewellError if it can't be read.
    """
    if os.path.exists(against):
        earlier = read_sources([against])
        for error in earlier.errors:
            raise ManifestError(error.file, error.line, error.path, error.reason)
        return earlier, documents_of(earlier.manifest) if earlier.manifest is not None else []
    try:
        split_address(against)
    except ValueError:
        raise ManifestError(against, None, "", "expected an existing file or ip:port") from None
    earlier, documents = Sources(), []
    if sources.manifest is not None:
        earlier.manifest = sources.manifest
        operator = Operator([against])
        try:
            documents = [document for kind in Kind for document in await operator.get(kind)]
        finally:
            await operator.close()
    if sources.catalogs:
        store = PlatformStore(against, SystemClock(), STORE_TIMEOUT_MS)
        value = (await store.list(CONFIGURATION_KEY)).values.get(CONFIGURATION_KEY)
        if value is None:
            raise ManifestError(against, None, "", f"expected a value of {CONFIGURATION_KEY}")
        earlier.catalogs.append(decode_catalog_file(f"{against}/{CONFIGURATION_KEY}", value.value))
    return earlier, documents


def _diff_sources(
    earlier: Sources, in_force: Sequence[Document], sources: Sources, against: str
) -> list[AnyChange]:
    """Return the differences of all sources; raise ManifestError if a format isn't in ``earlier``.

    Settings are compared with settings of the same kind of daemon.
    """
    changes: list[AnyChange] = []
    missing = ManifestError(
        against, None, "", "expected a file of the same format as those checked"
    )
    if sources.manifest is not None:
        if earlier.manifest is None:
            raise missing
        changes += diff_manifest(sources.manifest, in_force)
    for catalog in sources.catalogs:
        if not earlier.catalogs:
            raise missing
        changes += diff_catalog(earlier.catalogs[0], catalog)
    for settings in sources.settings:
        if [s.daemon for s in earlier.settings] != [settings.daemon]:
            raise missing
        changes += diff_settings(earlier.settings[0], settings)
    for boot in sources.boots:
        if not earlier.boots:
            raise missing
        changes += diff_boot(earlier.boots[0], boot)
    return changes


async def get(operator: Operator, kind: str, name: str, output: str) -> int:
    """Print the resource ``name``, or all resources of ``kind``, with their status."""
    documents = await operator.get(Kind(kind), name)
    if output == "json":
        _print_json(documents)
    else:
        print(format_documents(Kind(kind), documents))
    return OK


async def watch(operator: Operator, kind: str, output: str) -> int:
    """Print all resources of ``kind``, then each change as it comes into force."""
    async for event in operator.watch(Kind(kind)):
        if output == "json":
            _print_json(event)
        else:
            spec = "" if event.resource is None else bytes(event.resource.spec).decode()
            print(f"{event.revision:>8}  {event.type:<6}  {event.name}  {spec}".rstrip())
        sys.stdout.flush()
    return OK


async def submit(client: Client, file: str, key: str, output: str) -> int:
    """Submit the request or job in ``file`` and print its outcome."""
    job = read_job(file)
    key = key or job.key
    if job.tasks is not None:
        outcome = await client.submit_job(
            job.service, job.tasks, key, job.deadline_ms, job.resources
        )
    else:
        payload = msgspec.json.encode(job.payload)
        outcome = await client.submit_request(job.service, payload, key, job.deadline_ms)
    _print_outcome(outcome, output)
    return exit_status(outcome)


async def cancel(client: Client, key: str, output: str) -> int:
    """Cancel the submission of ``key`` and print its outcome or its progress."""
    outcome = await client.cancel(key)
    match outcome:
        case Running(finished, total):
            print(f"still running: {finished} of {total} tasks have finished")
            return UNKNOWN
        case NoRecord(reason):
            print(f"snipewell: {key}: {reason}", file=sys.stderr)
            return USAGE
        case _:
            _print_outcome(outcome, output)
    tag = outcome.__struct_config__.tag
    return OK if tag == "cancelled" else exit_status(outcome)


async def status(operator: Operator, output: str) -> int:
    """Print the state of the system; return 1 if an entry is unreachable."""
    system = await operator.status()
    if output == "json":
        _print_json(system)
    else:
        print(format_status(system))
    return OK if all(entry.reachable for entry in system.entries) else FAILED


async def set_zone(operator: Operator, name: str, in_service: bool, output: str) -> int:
    """Set the in-service flag of a zone and print whether the change is in force."""
    written = await operator.set_in_service(Kind.ZONE, name, in_service)
    if output == "json":
        _print_json(written)
    else:
        _print_writes([written])
    return OK


async def drain(operator: Operator, kind: Kind, name: str, wait_ms: int, output: str) -> int:
    """Take an upstream or zone out of service, wait until it is idle, and print its state.

    Returns 1 if it is not idle after ``wait_ms``.
    """
    document, drained = await operator.drain(kind, name, wait_ms)
    if output == "json":
        _print_json(document)
    else:
        print(format_documents(kind, [document]))
    return OK if drained else FAILED


def parse_url(url: str) -> tuple[str, Kind, str]:
    """Return the address, kind and name in ``upstreams/NAME``, ``zones/NAME`` or an http:// URL.

    The address is empty without a URL. Raises ValueError with the expected forms.
    """
    expected = f"expected upstreams/NAME, zones/NAME or its http:// URL, got {url[:200]!r}"
    parts = urlsplit(url)
    if parts.scheme not in ("", "http"):
        raise ValueError(expected)
    segments = parts.path.strip("/").split("/")
    if parts.scheme and segments[:1] == ["v1"]:
        split_address(parts.netloc)
        del segments[0]
    elif parts.scheme:
        raise ValueError(expected)
    if len(segments) != 2 or segments[0] not in ("upstreams", "zones") or not segments[1]:
        raise ValueError(expected)
    return parts.netloc, Kind(segments[0]), unquote(segments[1])


def read_job(file: str) -> JobFile:
    """Return the job in ``file``; raise ManifestError with the field and the line at fault."""
    value, text = load_json(Path(file))
    try:
        job = msgspec.convert(value, JobFile)
        if (job.tasks is None) == (job.payload is msgspec.UNSET):
            raise SpecError("tasks", "expected either tasks or payload")
        if job.tasks == []:
            raise SpecError("tasks", "expected at least one task")
        if job.deadline_ms <= 0:
            raise SpecError("deadline_ms", f"expected more than 0, got {job.deadline_ms:g}")
    except msgspec.ValidationError as error:
        split = split_error(error)
        raise _job_error(file, text, split) from None
    except SpecError as error:
        raise _job_error(file, text, error) from None
    return job


def _job_error(file: str, text: str, error: SpecError) -> ManifestError:
    position = text.find(error.field.rpartition(".")[2]) if error.field else -1
    line = text.count("\n", 0, position) + 1 if position >= 0 else None
    return ManifestError(file, line, error.field, error.reason)


def _print_outcome(outcome: Outcome, output: str) -> None:
    if output == "json":
        fields = msgspec.to_builtins(outcome)
        body = {"outcome": fields.pop("type"), **fields}
        if isinstance(outcome, Complete):
            body["results"] = [_decode_result(result) for result in outcome.results]
        _print_json(body)
        return
    if isinstance(outcome, Complete):
        rows = [[i, result.decode(errors="replace")] for i, result in enumerate(outcome.results)]
        print(format_table(["TASK", "RESULT"], rows))
        return
    fields = msgspec.to_builtins(outcome)
    tag = fields.pop("type")
    text = ", ".join(f"{name} {value}" for name, value in fields.items() if value != "")
    print(f"{tag}: {text}", file=sys.stderr)


def _decode_result(result: bytes) -> object:
    try:
        return msgspec.json.decode(result)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return result.decode(errors="replace")


def _print_differences(differences: list[Difference], dry_run: bool) -> None:
    for difference in differences:
        print(f"{difference.action} {difference.kind.value}/{difference.name}")
        for line in difference.lines:
            print(f"    {line}")
    if not differences:
        print("nothing to change")
    elif dry_run:
        print("dry run: nothing was written")


def _print_findings(findings: Sequence[AnyFinding]) -> None:
    for finding in findings:
        text = str(finding)
        if isinstance(finding, Unreadable):
            print(f"snipewell: {text}", file=sys.stderr)
        else:
            print(f"{finding.__struct_config__.tag}: {text}")


def _print_writes(written: list[WriteResponse]) -> None:
    performed = [response for response in written if not response.dry_run]
    if not performed:
        return
    print(format_writes(performed))
    pending = [response.revision for response in performed if not response.in_force]
    if pending:
        print(f"stored, but not yet in force everywhere: revision {max(pending)}; see status")
    else:
        print(f"in force at revision {max(response.revision for response in performed)}")


def _print_json(value: object) -> None:
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())
