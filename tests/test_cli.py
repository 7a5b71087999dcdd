from collections.abc import Iterator
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from snipewell.cli import main
from snipewell.standins.keyvalue import Faults
from snipewell.web import Response
from tests.fake_entry import LOST, FakeEntry, answer, entry_in_thread

EXAMPLES = Path(__file__).parent.parent / "examples"


class Shell:
    def __init__(self, entry: FakeEntry, capsys: pytest.CaptureFixture[str], path: Path) -> None:
        self.entry = entry
        self.capsys = capsys
        self.path = path

    def run(self, *argv: str) -> str:
        """Run a command and return its exit status and output, without paths of this machine."""
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
def shell(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> Iterator[Shell]:
    with entry_in_thread() as entry:
        yield Shell(entry, capsys, tmp_path)


def test_apply_shows_differences_is_idempotent_and_prunes_on_demand(
    shell: Shell, snapshot: SnapshotAssertion
) -> None:
    """Guards against an apply that changes more than it shows, or deletes unasked."""
    directory = str(EXAMPLES / "bagmati" / "resources")
    shown = [shell.run("apply", directory, "--dry-run")]
    assert shell.entry.store.stats()["put"] == 0
    assert shell.run("apply", directory).startswith("exit status 0")
    puts = shell.entry.store.stats()["put"]
    assert shell.run("apply", directory) == "exit status 0\nnothing to change"
    assert shell.entry.store.stats()["put"] == puts == 5
    teams = shell.write("teams.json", '{"teams": [{"name": "counter", "weight": 5}]}')
    shown += [shell.run("apply", teams), shell.run("get", "teams")]
    shown += [shell.run("apply", teams, "--prune"), shell.run("get", "teams")]
    shown += [shell.run("get", "services"), shell.run("get", "zones", "patan", "--output", "json")]
    assert shown == snapshot


def test_operators_commands(
    shell: Shell, snapshot: SnapshotAssertion, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a misspelt zone being declared, and an apply that brings a zone back."""
    monkeypatch.setattr("snipewell.operate.DRAIN_SETTLE_MS", 0)
    shell.run("apply", str(EXAMPLES / "scoopwell" / "resources" / "zones.json"))
    shown = [shell.run("zone", "pos-east", "out"), shell.run("zone", "pos-eats", "out")]
    shown += [shell.run("drain", "upstreams/scoop-runner-01"), shell.run("status")]
    shell.entry.in_force = False
    shown += [shell.run("zone", "pos-west", "out"), shell.run("get", "zones")]
    shown += [shell.run("drain", "zones/chaguanas", "--wait-ms", "1")]
    zones = str(EXAMPLES / "scoopwell" / "resources" / "zones.json")
    shown += [shell.run("apply", zones)]
    assert shown == snapshot


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
    shell: Shell, snapshot: SnapshotAssertion, script: list[Response | str]
) -> None:
    """Guards against a script that takes "unknown" for "not run" by the exit status."""
    shell.entry.script = script
    job = shell.write("job.json", '{"service": "intake", "key": "k", "tasks": [{"ms": 1}, 2]}')
    assert shell.run("submit", job, "--team", "annex") == snapshot


def test_submit_without_any_answer_is_unknown(shell: Shell) -> None:
    """Guards against a job that may have run being reported as unreachable."""
    shell.entry.script = [LOST] * 6
    job = shell.write("job.json", '{"service": "intake", "payload": {"ms": 1}}')
    assert shell.run("submit", job).startswith("exit status 4\nunknown: step edge, peer ADDRESS")


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
    shell: Shell, snapshot: SnapshotAssertion, name: str, text: str
) -> None:
    """Guards against an operator who must search for the mistake."""
    assert shell.run("check", shell.write(name, text)) == snapshot


@pytest.mark.parametrize(
    "text",
    [
        '{"service": "intake"}',
        '{"service": "intake", "tasks": []}',
        '{"service": "intake",\n "payload": 1,\n "deadlin_ms": 5}',
    ],
)
def test_job_files_are_checked_before_anything_is_sent(
    shell: Shell, snapshot: SnapshotAssertion, text: str
) -> None:
    """Guards against a mistake in a file that looks like a refusal by the system."""
    assert shell.run("submit", shell.write("job.json", text)) == snapshot
    assert shell.entry.seen == []


def test_statuses_of_an_outage_and_an_unreachable_entry(
    shell: Shell, snapshot: SnapshotAssertion, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a failed write that looks like a success, or the reverse."""
    shell.run("apply", str(EXAMPLES / "bagmati" / "resources" / "zones.json"))
    monkeypatch.setattr("snipewell.operate.CALL_MS", 300)
    shell.entry.store.faults = Faults(down="refuse")
    shown = [shell.run("zone", "patan", "out")]
    shell.entry.address = "127.0.0.1:1"
    shown += [shell.run("zone", "patan", "out"), shell.run("status")]
    assert shown == snapshot


def test_every_example_is_valid(shell: Shell) -> None:
    """Guards against examples that no longer fit the resources or job files."""
    from snipewell.command import read_job

    jobs = [read_job(str(file)) for file in sorted(EXAMPLES.glob("*/jobs/*.json"))]
    assert sum(len(job.tasks or [None]) for job in jobs) > 250
    for directory in sorted(EXAMPLES.glob("*/resources")):
        assert shell.run("check", str(directory)).startswith("exit status 0")
