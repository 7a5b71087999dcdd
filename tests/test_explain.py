"""Guards against log lines of a job that can't be found by its id, or are out of order."""

from __future__ import annotations

from pathlib import Path

import pytest

from snipewell import cli
from snipewell.explain import explain

JOB = "7d7ca71d3a04bee7"
ENTRY = (
    b'{"node":"entry-1","job":"7d7ca71d3a04bee7","queue":"q","tasks":2,"level":"info",'
    b'"message":"scheduler: job accepted","timestamp":100.5,"task_uuid":"x","task_level":[1],'
    b'"message_type":"scheduler"}'
)
AGENT = (
    b'{"node":"agent-1","task":"7d7ca71d3a04bee7/0/1","attempt":1,"how":"failed","reason":"",'
    b'"level":"info","message":"executor: run ended","timestamp":100.6}'
)
OTHER = b'{"node":"agent-1","task":"ffff/0/1","message":"executor: run ended","timestamp":1.0}'


def test_lines_of_all_processes_are_sorted_by_time() -> None:
    lines = explain(JOB, [AGENT, OTHER, b"Traceback (most recent call last):", ENTRY])
    assert lines == [
        "+     0 ms entry-1: scheduler: job accepted queue=q tasks=2",
        "+   100 ms agent-1: executor: run ended task=7d7ca71d3a04bee7/0/1 attempt=1 how=failed",
    ]


def test_lines_with_a_prefix_are_read() -> None:
    """Log collectors prepend their own time and host to a line."""
    assert explain(JOB, [b"12.5 host " + ENTRY])[0].startswith("+     0 ms entry-1:")


def test_a_job_without_lines_is_reported_as_such() -> None:
    assert explain("0" * 16, [ENTRY, b"{broken"]) == [f"no line on {'0' * 16}"]


def test_the_command_reads_log_files(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "entry.log").write_bytes(ENTRY + b"\n")
    (tmp_path / "agent.log").write_bytes(AGENT + b"\n")
    with pytest.raises(SystemExit) as exit_info:
        cli.main(["explain", JOB, str(tmp_path / "entry.log"), str(tmp_path / "agent.log")])
    assert exit_info.value.code == cli.OK
    assert capsys.readouterr().out.count("\n") == 2
