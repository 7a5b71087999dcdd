import json
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import curio
import pytest
from syrupy.assertion import SnapshotAssertion

from snipewell.cli import main
from snipewell.command import check
from snipewell.platform.boot import read_boot_settings
from snipewell.settings import SettingsError
from snipewell.standins.metadata import MetadataStore
from tests.fake_entry import FakeEntry, entry_in_thread

EXAMPLES = Path(__file__).parent.parent / "examples"
ROUTE = {"name": "r-1", "host": "a.example", "pathPrefix": "/q/", "service": "s"}
BOOT = "nodeName=n\nzone=z\nip=10.0.0.1\ninternalPortRange=77,78\nplatform.address=10.0.0.9:81\n"
ENTRY = {"name": "e1", "zone": "z", "host": "127.0.0.1", "store": "127.0.0.1:7000"}


class Checker:
    def __init__(self, capsys: pytest.CaptureFixture[str], path: Path) -> None:
        self.capsys = capsys
        self.path = path

    def write(self, name: str, content: object) -> str:
        data = content if isinstance(content, str | bytes) else json.dumps(content)
        (self.path / name).write_bytes(data.encode() if isinstance(data, str) else data)
        return str(self.path / name)

    def run(self, *argv: str) -> tuple[object, str]:
        """Run a command; return exit status and output."""
        with pytest.raises(SystemExit) as exit:
            main([*argv])
        out, err = self.capsys.readouterr()
        return exit.value.code, (out + err).replace(str(self.path), "DIR")

    def findings(self, *files: str) -> tuple[object, list[tuple[str, str]]]:
        """Run ``check --json``; return exit status, and type and path of each finding."""
        status, out = self.run("check", *files, "--json")
        return status, [(f["type"], f["path"]) for f in json.loads(out)["findings"]]


@pytest.fixture
def checker(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> Checker:
    return Checker(capsys, tmp_path)


@pytest.fixture
def entry() -> Iterator[FakeEntry]:
    with entry_in_thread() as entry:
        yield entry


def catalog(*routes: dict[str, object], **fields: object) -> dict[str, object]:
    return {"version": 1, "routes": [ROUTE | route for route in routes], **fields}


@pytest.mark.parametrize(
    ("document", "path"),
    [
        (catalog({}, {"name": "r-2", "host": "A.example"}), "routes[1].pathPrefix"),
        (catalog({}, services=[{"name": "t"}]), "routes[0].service"),
        (catalog({"host": ""}), "routes[0].host"),
        (catalog({"host": "a.example:80"}), "routes[0].host"),
        (catalog({"pathPrefix": "q/"}), "routes[0].pathPrefix"),
        (catalog({"recommendation": {"x": 1}}), "routes[0].recommendation"),
        (
            {"zones": [{"name": "a"}], "services": [{"name": "s", "zones": ["a", "b"]}]},
            "s.zones[1]",
        ),
        (
            {
                "upstreams": [{"name": "u", "in_service": False}],
                "services": [{"name": "s", "upstreams": ["u"]}],
            },
            "s.upstreams",
        ),
    ],
)
def test_entries_that_never_match(checker: Checker, document: object, path: str) -> None:
    """Guards against sending a route or service that silently gets no work."""
    status, [(kind, found)] = checker.findings(checker.write("f.json", document))
    assert (status, kind, found.removeprefix("services/")) == (1, "never_matches", path)


@pytest.mark.parametrize(
    ("document", "path"),
    [
        (catalog({"maxAttempts": 0}), "routes[0].maxAttempts"),
        (catalog({"stretchFactor": 0}), "routes[0].stretchFactor"),
        (catalog({"stretchFactor": 0.5}), "routes[0].targetLatencyMs"),
        (catalog({"targetLatencyMs": -1}), "routes[0].targetLatencyMs"),
        (catalog({"targetLatencyMs": 60, "timeoutMs": 59}), "routes[0].timeoutMs"),
        (
            catalog({"targetLatencyMs": 60, "timeoutMs": 119, "maxAttempts": 2}),
            "routes[0].timeoutMs",
        ),
        (catalog(limits={"maxBodyBytes": 3_999}), "limits.maxBodyBytes"),
        (catalog(limits={"maxHeaderBytes": 0}), "limits.maxHeaderBytes"),
        ({"services": [{"name": "s", "expected_ms": 9, "deadline_ms": 8}]}, "s.deadline_ms"),
        ({"services": [{"name": "s", "max_payload_bytes": 4_194_305}]}, "s.max_payload_bytes"),
        ({"services": [{"name": "s", "max_tasks": 10_001}]}, "s.max_tasks"),
        (
            {"teams": [{"name": n, "max_tasks_in_flight": 100_001} for n in "ab"]},
            "teams.max_tasks_in_flight",
        ),
        (BOOT + "bounds.maxHoldMs=0", "bounds.maxHoldMs"),
    ],
)
def test_limits_that_contradict_each_other(checker: Checker, document: object, path: str) -> None:
    """Guards against limits by which every job, or the largest one, is refused or late."""
    status, [(kind, found)] = checker.findings(checker.write("f.json", document))
    assert (status, kind, found.removeprefix("services/")) == (1, "limit_conflict", path)


def test_two_routes_of_one_name(checker: Checker) -> None:
    """Guards against routes whose pending jobs are counted together."""
    file = checker.write("f.json", catalog({}, {"pathPrefix": "/p/"}))
    assert checker.findings(file) == (1, [("duplicate_name", "routes[1].name")])


def test_limits_at_the_bound_and_the_examples_have_no_findings(checker: Checker) -> None:
    """Guards against false findings, which would block ``apply --check``."""
    routes = catalog({"targetLatencyMs": 60, "timeoutMs": 120, "maxAttempts": 2}, services=[ROUTE])
    routes["services"] = [{"name": "s"}]
    assert checker.findings(checker.write("routes.json", routes)) == (0, [])
    for directory in ("bagmati", "scoopwell"):
        assert checker.findings(str(EXAMPLES / directory / "resources")) == (0, [])
    assert checker.findings(checker.write("boot.conf", BOOT)) == (0, [])


def test_services_are_checked_with_the_limits_of_the_entries(checker: Checker) -> None:
    """Guards against a deadline or payload that the entry checked along with it refuses."""
    settings = ENTRY | {"max_deadline_ms": 9_999, "http": {"body_bytes": 2_599}}
    files = (
        checker.write("e.json", settings),
        checker.write("s.json", {"services": [{"name": "s"}]}),
    )
    paths = [f"services/s.{name}" for name in ("deadline_ms", "max_payload_bytes", "max_tasks")]
    assert checker.findings(*files) == (1, [("limit_conflict", path) for path in paths])


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        (b'{"zones": [{"name": "\xe9"}]}', "DIR/bad: cannot be read: 'utf-8'"),
        ("zones: patan", "DIR/bad:1: expected JSON"),
        ("", "DIR/bad:1: expected JSON"),
        ("\n" * 50_000 + "x", "DIR/bad:50001: expected JSON"),
        ("[]", "DIR/bad: expected an object"),
        ('{"zones": ' + "[" * 100_000, "DIR/bad:1: expected JSON with comments: Maximum nesting"),
        ('{"zones": {}}', "DIR/bad:1: zones: expected a list"),
        ('{"teams": [{"name": "a", "weight": "2"}]}', "DIR/bad:1: teams[0].weight: expected `int`"),
        ('{"version": 1, "routes": [] /* */}', "DIR/bad: JSON is malformed"),
        (catalog({}, {"name": 1}), "DIR/bad: routes[1].name: expected `str`, got `int`"),
        ({"version": 1, "routes": 5}, "DIR/bad: routes: expected `array`"),
        ({"routes": []}, "DIR/bad: version: object missing required field `version`"),
        (catalog(limits={"maxBodyBytes": "x"}), "DIR/bad: limits.maxBodyBytes: expected `int`"),
        ("nodeName=n\nzone\n", "DIR/bad:2: zone: expected name=value"),
        (BOOT.replace("78", "²"), "DIR/bad:4: internalPortRange: expected two ports"),
        (BOOT + "app=x", "DIR/bad: app: expected ip:port"),
    ],
)
def test_bad_files_are_errors(checker: Checker, content: object, expected: str) -> None:
    """Guards against a traceback, or an error without the file and the path in the document."""
    good, bad = checker.write("good.json", {"zones": []}), checker.write("bad", content)
    status, out = checker.run("check", good, bad)
    assert (status, f"snipewell: {expected}" in out) == (2, True), out
    assert checker.findings(good, bad)[1][0][0] == "unreadable"


def test_files_that_cannot_be_opened_are_all_reported(checker: Checker) -> None:
    """Guards against stopping at the first bad file, and against reading a device without end."""
    names = ["/dev/zero", str(checker.path / "missing"), "\udcff", "x" * 5_000]
    assert checker.findings(*names) == (2, [("unreadable", "")] * 4)
    twice = checker.write("a.json", {"zones": [{"name": "a"}]})
    again = checker.write("b.json", {"zones": [{"name": "a"}]})
    assert checker.findings(twice, again) == (2, [("unreadable", "zones.name")])
    with pytest.raises(SettingsError):
        read_boot_settings(checker.write("boot.conf", b"\xe9=1"))


def test_differences_of_two_versions(checker: Checker, snapshot: SnapshotAssertion) -> None:
    """Guards against a change that the operator isn't shown, or whose jobs aren't named."""
    old = catalog(
        {}, {"name": "r-2", "pathPrefix": "/p/", "service": "t"}, services=[{"name": "s"}]
    )
    new = catalog(
        {"maxAttempts": 3, "futureField": [1]},
        {"name": "r-3", "pathPrefix": "/z/", "service": "t"},
        services=[{"name": "s", "x": 1}, {"name": "t"}],
        limits={"maxBodyBytes": 9_000},
    )
    files = checker.write("new.json", new | {"version": 2}), checker.write("old.json", old)
    outputs = [checker.run("check", files[0], "--against", files[1])]
    outputs += [checker.run("check", files[1], "--against", files[1])]
    zones = [{"name": "a", "in_service": False}, {"name": "b"}]
    services = [{"name": "s", "zones": ["a"]}, {"name": "t", "zones": ["b"]}]
    stored = checker.write(
        "stored.json", {"zones": zones, "services": services, "teams": [{"name": "x"}]}
    )
    changed: dict[str, Any] = {"zones": [{"name": "a"}], "services": [services[0]]}
    changed["services"] = [services[0] | {"deadline_ms": 50}]
    outputs += [checker.run("check", checker.write("r.json", changed), "--against", stored)]
    boots = checker.write("b1.conf", BOOT + "bounds.maxHoldMs=900"), checker.write("b2.conf", BOOT)
    outputs += [checker.run("check", boots[0], "--against", boots[1], "--json")]
    outputs += [checker.run("check", boots[0], "--against", stored)]
    entries = checker.write("e1.json", ENTRY | {"lease_ms": 6_000}), checker.write("e2.json", ENTRY)
    outputs += [checker.run("check", entries[0], "--against", entries[1])]
    assert outputs == snapshot


def test_against_an_entry_and_apply_with_a_check(checker: Checker, entry: FakeEntry) -> None:
    """Guards against an apply with findings that writes, and a wrong version in force."""
    service: dict[str, object] = {"name": "s", "zones": ["a"]}
    good = checker.write("good.json", {"zones": [{"name": "a"}], "services": [service]})
    bad = checker.write("bad.json", {"services": [service | {"zones": ["b"]}]})
    remote = "--check", "--address", entry.address
    assert checker.run("apply", good, *remote)[0] == 0
    puts = entry.store.stats()["put"]
    assert puts == 2
    status, out = checker.run("apply", bad, *remote)
    assert (status, "services/s.zones[0]" in out, "nothing was written" in out) == (1, True, True)
    pruned = checker.write("p.json", {"zones": [{"name": "b"}], "services": [service]})
    status, out = checker.run("apply", pruned, "--prune", "--output", "json", *remote)
    assert (status, json.loads(out)["findings"][0]["path"]) == (1, "services/s.zones[0]")
    status, out = checker.run("check", bad, "--against", entry.address)
    assert status == 1 and 'zones: changed from ["a"] to ["b"]' in out
    assert checker.run("check", good, "--against", entry.address)[1].endswith(": 0\n")
    assert entry.store.stats()["put"] == puts
    assert checker.run("check", good, "--against", "127.0.0.1:1")[0] == 2
    assert checker.run("check", good, "--against", "nowhere")[0] == 2


def test_against_the_store_of_the_platform(checker: Checker) -> None:
    """Guards against taking a missing or unreadable version in force for one without routes."""
    file = checker.write("new.json", catalog({"maxAttempts": 3}))

    async def run() -> list[int]:
        store = MetadataStore(Random(1))
        server = await store.serve()
        address = "{}:{}".format(*server.address)
        statuses = [await check([file], address, True)]
        for value in (b"{", json.dumps(catalog({})).encode()):
            store.put("op/config", value)
            statuses.append(await check([file], address, True))
        await server.stop(0)
        return statuses

    assert curio.run(run) == [2, 2, 0]
    out = checker.capsys.readouterr().out
    assert '"field": "maxAttempts"' in out and out.count('"type": "unreadable"') == 2
