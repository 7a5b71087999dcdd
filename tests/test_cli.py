from collections.abc import Iterator
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from snipewell.cli import main
from snipewell.standins.keyvalue import Faults
from snipewell.web import Response
from tests.fake_entry import CLOSE_CONNECTION, FakeEntry, answer, entry_in_thread

EXAMPLES = Path(__file__).parent.parent / "examples"


class CommandRunner:
    def __init__(self, entry: FakeEntry, capsys: pytest.CaptureFixture[str], path: Path) -> None:
        self.entry = entry
        self.capsys = capsys
        self.path = path

    def run(self, *argv: str) -> str:
        """Run a command; return exit status and output with paths and addresses replaced."""
        status: object = None
        remote = () if argv[0] == "check" else ("--address", self.entry.address)
        try:
            main([*argv, *remote])
        except SystemExit as exit:
            status = exit.code
        out, err = self.capsys.readouterr()
        text = "\n".join(line.rstrip() for line in (out + err).splitlines())
        assert "\t" not in text
        text = text.replace(str(self.path), "DIR").replace(self.entry.address, "ADDRESS")
        return f"exit status {status}\n{text}"

    def write(self, name: str, text: str) -> str:
        file = self.path / name
        file.parent.mkdir(exist_ok=True)
        file.write_text(text)
        return str(file)


@pytest.fixture
def runner(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> Iterator[CommandRunner]:
    with entry_in_thread() as entry:
        yield CommandRunner(entry, capsys, tmp_path)


def test_apply_shows_differences_is_idempotent_and_prunes_on_demand(
    runner: CommandRunner, snapshot: SnapshotAssertion
) -> None:
    """Guards against an apply that changes more than it prints, or deletes without ``--prune``."""
    directory = str(EXAMPLES / "bagmati" / "resources")
    outputs = [runner.run("apply", directory, "--dry-run")]
    assert runner.entry.store.stats()["put"] == 0
    assert runner.run("apply", directory).startswith("exit status 0")
    puts = runner.entry.store.stats()["put"]
    assert runner.run("apply", directory) == "exit status 0\nnothing to change"
    assert runner.entry.store.stats()["put"] == puts == 5
    teams = runner.write("teams.json", '{"teams": [{"name": "counter", "weight": 5}]}')
    outputs += [runner.run("apply", teams), runner.run("get", "teams")]
    outputs += [runner.run("apply", teams, "--prune"), runner.run("get", "teams")]
    outputs += [
        runner.run("get", "services"),
        runner.run("get", "zones", "patan", "--output", "json"),
    ]
    assert outputs == snapshot


def test_operators_commands(
    runner: CommandRunner, snapshot: SnapshotAssertion, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against declaring a misspelt zone, and an apply that puts a zone back into service."""
    monkeypatch.setattr("snipewell.operate.DRAIN_SETTLE_MS", 0)
    runner.run("apply", str(EXAMPLES / "scoopwell" / "resources" / "zones.json"))
    outputs = [runner.run("zone", "pos-east", "out"), runner.run("zone", "pos-eats", "out")]
    outputs += [runner.run("drain", "upstreams/scoop-runner-01"), runner.run("status")]
    runner.entry.in_force = False
    outputs += [runner.run("zone", "pos-west", "out"), runner.run("get", "zones")]
    outputs += [runner.run("drain", "zones/chaguanas", "--wait-ms", "1")]
    zones = str(EXAMPLES / "scoopwell" / "resources" / "zones.json")
    outputs += [runner.run("apply", zones)]
    assert outputs == snapshot


@pytest.mark.parametrize(
    "script",
    [
        [answer(200, "complete", results=[{"bolt": "B-1"}, "ok"])],
        [answer(502, "failed", step="upstream", peer="runner-03", reason="status 500")],
        [answer(429, "not_run", reason="quota of team annex", retry_after_ms=60_000)],
        [answer(504, "unknown", "60", step="start", peer="a1", reason="no answer")],
        [answer(422, "impossible", reason="1400 tasks, at most 1300")],
        [answer(409, "conflict", reason="another payload")],
    ],
)
def test_submit_ends_with_the_status_of_the_outcome(
    runner: CommandRunner, snapshot: SnapshotAssertion, script: list[Response | str]
) -> None:
    """Guards against exit statuses by which a script cannot tell "unknown" from "not run"."""
    runner.entry.script = script
    job = runner.write("job.json", '{"service": "intake", "key": "k", "tasks": [{"ms": 1}, 2]}')
    assert runner.run("submit", job, "--team", "annex") == snapshot


def test_submit_without_any_response_is_unknown(runner: CommandRunner) -> None:
    """Guards against reporting a job that may have run as unreachable."""
    runner.entry.script = [CLOSE_CONNECTION] * 6
    job = runner.write("job.json", '{"service": "intake", "payload": {"ms": 1}}')
    assert runner.run("submit", job).startswith("exit status 4\nunknown: step edge, peer ADDRESS")


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("broken.json", '{\n  "zones": [\n    {"name": }\n  ]\n}'),
        ("kind.json", '{\n  "zoness": []\n}'),
        ("field.json", '{\n  "zones": [\n    {"name": "patan",\n     "in_servise": false}\n  ]\n}'),
        ("type.json", '{"teams": [\n  {"name": "a"},\n  {"name": "b",\n   "weight": "2"}]}'),
        ("twice.json", '{"zones": [\n  {"name": "patan"},\n  {"name": "patan"}]}'),
        ("settings.json", '{\n  "host": "localhost",\n  "latency_ms": 2\n}'),
        ("entry.json", '{"name": "e1", "zone": "z", "host": "127.0.0.1",\n "storee": "x"}'),
        ("other.json", "{}"),
        ("good.json", '{"host": "127.0.0.1", "latency_ms": 2} // the store'),
    ],
)
def test_check_names_file_line_and_field(
    runner: CommandRunner, snapshot: SnapshotAssertion, name: str, text: str
) -> None:
    """Guards against errors that do not locate the mistake by file, line and field."""
    assert runner.run("check", runner.write(name, text)) == snapshot


@pytest.mark.parametrize(
    "text",
    [
        '{"service": "intake"}',
        '{"service": "intake", "tasks": []}',
        '{"service": "intake",\n "payload": 1,\n "deadlin_ms": 5}',
    ],
)
def test_job_files_are_checked_before_anything_is_sent(
    runner: CommandRunner, snapshot: SnapshotAssertion, text: str
) -> None:
    """Guards against sending an invalid job file, whose error would look like a refusal."""
    assert runner.run("submit", runner.write("job.json", text)) == snapshot
    assert runner.entry.seen == []


def test_statuses_of_an_outage_and_an_unreachable_entry(
    runner: CommandRunner, snapshot: SnapshotAssertion, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reporting a failed write as a success, or the reverse."""
    runner.run("apply", str(EXAMPLES / "bagmati" / "resources" / "zones.json"))
    monkeypatch.setattr("snipewell.operate.CALL_TIMEOUT_MS", 300)
    runner.entry.store.faults = Faults(down="refuse")
    outputs = [runner.run("zone", "patan", "out")]
    runner.entry.address = "127.0.0.1:1"
    outputs += [runner.run("zone", "patan", "out"), runner.run("status")]
    assert outputs == snapshot


def test_every_example_is_valid(runner: CommandRunner) -> None:
    """Guards against examples that are no longer valid resource or job files."""
    from snipewell.command import read_job

    jobs = [read_job(str(file)) for file in sorted(EXAMPLES.glob("*/jobs/*.json"))]
    assert sum(len(job.tasks or [None]) for job in jobs) > 250
    for directory in sorted(EXAMPLES.glob("*/resources")):
        assert runner.run("check", str(directory)).startswith("exit status 0")
