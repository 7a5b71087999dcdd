"""Validation of settings and resource files without applying them."""

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

_SETTINGS_TYPES: dict[str, type[Settings]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "store": StoreSettings,
    "upstream": UpstreamSettings,
    "balancer": BalancerSettings,
}


def check_path(path: str) -> str:
    """Validate a settings file, a resource file or a directory; return a line for the operator.

    The daemon that a settings file belongs to is inferred from its fields. Raises SettingsError or
    ManifestError.
    """
    if Path(path).is_dir():
        return _check_resources(path)
    value, _ = load_json(Path(path))
    fields = set(value) if isinstance(value, dict) else set()
    if not fields:
        raise ManifestError(path, None, "", "expected an object with settings or resources")
    name = _infer_settings_name(fields)
    if not name:
        return _check_resources(path)
    load_settings(path, _SETTINGS_TYPES[name])
    return f"{path}: valid settings of {name}"


def _check_resources(path: str) -> str:
    manifest = read_manifest(path)
    return f"{path}: {len(manifest.resources)} valid resources"


def _infer_settings_name(fields: set[str]) -> str:
    """Return the name of the daemon whose settings match ``fields`` best, "" if none has any.

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
    return best if fields & set(_SETTINGS_TYPES[best].__struct_fields__) else ""
