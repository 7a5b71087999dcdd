"""Checks of settings and resource files without using them."""

from __future__ import annotations

from pathlib import Path

from .manifest import ManifestError, load_json, read_manifest
from .settings import (
    AgentSettings,
    BalancerSettings,
    EntrySettings,
    Settings,
    StoreSettings,
    UpstreamSettings,
    load_settings,
)

_KINDS: dict[str, type[Settings]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "store": StoreSettings,
    "upstream": UpstreamSettings,
    "balancer": BalancerSettings,
}


def check_path(path: str) -> str:
    """Check a file or a directory of resources; return a line that says what it is.

    Which settings a file holds follows from its fields. Raises SettingsError or ManifestError.
    """
    if Path(path).is_dir():
        return _check_resources(path)
    value, _ = load_json(Path(path))
    fields = set(value) if isinstance(value, dict) else set()
    if not fields:
        raise ManifestError(path, None, "", "expected an object with settings or resources")
    name = _recognise(fields)
    if not name:
        return _check_resources(path)
    load_settings(path, _KINDS[name])
    return f"{path}: valid settings of {name}"


def _check_resources(path: str) -> str:
    manifest = read_manifest(path)
    return f"{path}: {len(manifest.entries)} valid resources"


def _recognise(fields: set[str]) -> str:
    """Return the settings that know the most of the fields and demand the fewest more, or none."""

    def score(name: str) -> tuple[int, int]:
        kind = _KINDS[name]
        known = set(kind.__struct_fields__)
        required = set(kind.__struct_fields__[: len(known) - len(kind.__struct_defaults__)])
        return len(fields & known) - len(fields - known), -len(required - fields)

    best = max(_KINDS, key=score)
    return best if fields & set(_KINDS[best].__struct_fields__) else ""
