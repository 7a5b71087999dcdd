"""Reads the files that ``snipewell check`` validates, whatever their format."""

from __future__ import annotations

import os
import re
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from .configcheck import BootFile, CatalogFile, SettingsFile, Sources, Unreadable
from .desiredstate import CatalogError
from .errors import SettingsError
from .ids import Revision
from .manifest import ManifestError, decode_json_text, read_manifest, read_text
from .platform.boot import parse_boot_settings
from .platform.configuration import CONFIGURATION_KEY, decode_catalog
from .resource import Kind, split_error
from .settings import (
    AgentSettings,
    BalancerSettings,
    EntrySettings,
    Settings,
    StoreSettings,
    UpstreamSettings,
    parse_settings,
)

_SETTINGS_TYPES: dict[str, type[Settings]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "store": StoreSettings,
    "upstream": UpstreamSettings,
    "balancer": BalancerSettings,
}
_BOOT_LINE = re.compile(r"\s*[\w.]+\s*=")
"""Start of a line with a setting in a file of the users' platform."""


def read_sources(paths: Sequence[str]) -> Sources:
    """Read settings files, resource files, directories of them, and platform configurations.

    The format of a file is inferred from its content. Errors become findings, the first one of each
    file; resources are read only if no file has an error.
    """
    sources = Sources()
    resources: list[str] = []
    for path in dict.fromkeys(paths):
        try:
            _read(path, sources, resources)
        except (ManifestError, SettingsError) as error:
            sources.errors.append(_unreadable(error))
        except OSError as error:
            sources.errors.append(Unreadable(path, "", f"cannot be read: {error}"))
    try:
        if resources and not sources.errors:
            sources.manifest = read_manifest(*resources)
    except ManifestError as error:
        sources.errors.append(_unreadable(error))
    return sources


def decode_catalog_file(file: str, value: bytes) -> CatalogFile:
    """Decode a configuration of the users' platform; raise ManifestError with the path at fault."""
    try:
        catalog = decode_catalog(value, Revision(0))
    except CatalogError as error:
        if " - at " not in str(error) and " field `" not in str(error):
            # The file isn't JSON without comments, the only format that the store holds.
            raise ManifestError(file, None, "", str(error)) from None
        split = split_error(msgspec.ValidationError(str(error)))
        field = split.field
        if field.startswith("routes[...]"):
            field = f"routes[{_find_route(value)}]{field.removeprefix('routes[...]')}"
        raise ManifestError(file, None, field, split.reason) from None
    return CatalogFile(file, msgspec.json.decode(value, type=dict[str, object]), catalog)


def _read(path: str, sources: Sources, resources: list[str]) -> None:
    """Add the content of one file to ``sources``, and the path of valid resources to theirs."""
    if os.path.isdir(path):
        _read_resources(path, sources, resources)
        return
    text = read_text(Path(path))
    if _BOOT_LINE.match(next(_boot_lines(text), "")):
        boot = parse_boot_settings(text, path)
        sources.boots.append(BootFile(path, boot, _split_lines(text)))
        sources.summaries.append(f"{path}: valid settings of {boot.name}")
        return
    value = decode_json_text(path, text)
    fields = set(value) if isinstance(value, dict) else set()
    if not fields:
        raise ManifestError(path, None, "", "expected an object with settings or resources")
    if "routes" in fields:
        catalog = decode_catalog_file(path, text.encode())
        sources.catalogs.append(catalog)
        count = len(catalog.catalog.queues)
        summary = f"valid {CONFIGURATION_KEY}, version {catalog.catalog.version}, routes: {count}"
        sources.summaries.append(f"{path}: {summary}")
        return
    name = _infer_settings_name(fields)
    if not name:
        _read_resources(path, sources, resources)
        return
    settings = parse_settings(text, _SETTINGS_TYPES[name], path)
    sources.settings.append(SettingsFile(path, name, settings))
    sources.summaries.append(f"{path}: valid settings of {name}")


def _read_resources(path: str, sources: Sources, resources: list[str]) -> None:
    manifest = read_manifest(path)
    resources.append(path)
    sources.summaries.append(f"{path}: {len(manifest.resources)} valid resources")


def _unreadable(error: ManifestError | SettingsError) -> Unreadable:
    return Unreadable(error.file, error.field, error.reason, error.line)


def _split_lines(text: str) -> dict[str, str]:
    """Return the values by name of a settings file of the users' platform, which is valid."""
    pairs = (line.partition("=") for line in _boot_lines(text))
    return {name.strip(): value.strip() for name, _, value in pairs}


def _boot_lines(text: str) -> Iterator[str]:
    """Yield the lines that are neither empty nor comments."""
    lines = (line.strip() for line in text.splitlines())
    return (line for line in lines if line and not line.startswith("#"))


def _find_route(value: bytes) -> int:
    """Return the index of the first route that can't be decoded."""
    document = msgspec.json.decode(value, type=dict[str, msgspec.Raw])
    routes = msgspec.json.decode(document["routes"], type=list[msgspec.Raw])
    for index, route in enumerate(routes):
        try:
            decode_catalog(msgspec.json.encode({"version": 0, "routes": [route]}), Revision(0))
        except CatalogError:
            return index
    raise ValueError("expected a route that can't be decoded")


def _infer_settings_name(fields: set[str]) -> str:
    """Return the name of the daemon whose settings match ``fields`` best, "" for resources.

    A file of resources has at least as many kinds as fields of settings: agents also have
    ``services``.
    The best match is the type that declares most of the fields, and among equals the one with the
    fewest missing required fields.
    """

    def score(name: str) -> tuple[int, int]:
        settings_type = _SETTINGS_TYPES[name]
        known = set(settings_type.__struct_fields__)
        required = set(
            settings_type.__struct_fields__[: len(known) - len(settings_type.__struct_defaults__)]
        )
        return len(fields & known) - len(fields - known), -len(required - fields)

    best = max(_SETTINGS_TYPES, key=score)
    known = fields & set(_SETTINGS_TYPES[best].__struct_fields__)
    return best if len(known) > len(fields & {kind.value for kind in Kind}) else ""
