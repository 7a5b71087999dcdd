"""Command-line interface, built with cappa on top of `api`.

Modules that are slow to import are imported inside the commands that need them.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, NoReturn

import cappa

if TYPE_CHECKING:
    from .api import Client, Operator
    from .outcome import Outcome
    from .settings import Settings

OK, FAILED, USAGE, UNREACHABLE, UNKNOWN, NOT_RUN = range(6)
"""Exit statuses. FAILED: the work ran and failed, or was cancelled; a daemon that stopped aborted
requests or calls, or could not hand over a partition; ``status`` found an entry unreachable;
``drain`` did not end in time; ``check`` has findings; or there was another error. USAGE: the
command, a file or the request is not valid. UNREACHABLE: nothing was sent. UNKNOWN: the work or the
write may or may not have taken effect. NOT_RUN: it certainly did not."""

_EXIT_BY_HTTP_STATUS = {503: NOT_RUN, 504: UNKNOWN}
"""Exit status by HTTP status of a refused call; all other HTTP statuses give USAGE."""

SettingsFile = Annotated[str, cappa.Arg(help="settings file, JSON with comments")]
Output = Annotated[str, cappa.Arg(long="--output", choices=["table", "json"], help="output format")]
Address = Annotated[
    str,
    cappa.Arg(
        long="--address",
        default=cappa.Env("SNIPEWELL_ADDRESS", default="127.0.0.1:8080"),
        help="ip:port of the balancer or of entries, separated by commas",
    ),
]
TokenFile = Annotated[
    str,
    cappa.Arg(
        long="--token-file",
        default=cappa.Env("SNIPEWELL_TOKEN_FILE", default=""),
        help="file with the operators' token, for writes to entries that require one",
    ),
]
Team = Annotated[str, cappa.Arg(long="--team", help="name of the client account")]
KindName = Annotated[
    str, cappa.Arg(choices=["services", "zones", "upstreams", "teams", "configurations"])
]


class _Command:
    """Base of all commands; cappa calls the instance that it parsed."""

    def __call__(self) -> None:
        """Run the command; end the process with the command's exit status."""
        self._run()

    def _run(self) -> None:
        raise NotImplementedError


@dataclass(kw_only=True)
class _RemoteCommand(_Command):
    address: Address
    output: Output = "table"


@dataclass(kw_only=True)
class _OperatorCommand(_RemoteCommand):
    token_file: TokenFile = ""

    def operate(self, action: Callable[[Operator], Coroutine[Any, Any, int]]) -> NoReturn:
        """Run ``action`` with an `Operator` for ``address`` and exit with its return value."""
        from .api import Operator
        from .settings import read_token

        async def run() -> int:
            token = read_token(self.token_file) if self.token_file else None
            operator = Operator(_split_addresses(self.address), token)
            try:
                return await action(operator)
            finally:
                await operator.close()

        _exit(run)


@dataclass(kw_only=True)
class _ClientCommand(_RemoteCommand):
    team: Team = "default"

    def call(self, action: Callable[[Client], Coroutine[Any, Any, int]]) -> NoReturn:
        """Run ``action`` with a `Client` for ``address`` and exit with its return value."""
        from .api import Client

        async def run() -> int:
            client = Client(_split_addresses(self.address), self.team)
            try:
                return await action(client)
            finally:
                await client.close()

        _exit(run)


@cappa.command(name="entry")
@dataclass
class EntryCommand(_Command):
    """Run an entry, the server that accepts submissions."""

    settings: SettingsFile

    def _run(self) -> None:
        from .settings import EntrySettings

        _run_daemon(self.settings, EntrySettings, "entryd", "run_entry")


@cappa.command(name="agent")
@dataclass
class AgentCommand(_Command):
    """Run the agent of one upstream."""

    settings: SettingsFile

    def _run(self) -> None:
        from .settings import AgentSettings

        _run_daemon(self.settings, AgentSettings, "agentd", "run_agent")


@cappa.command(name="store")
@dataclass
class StoreCommand(_Command):
    """Run the stand-in for the platform's key-value service."""

    settings: SettingsFile

    def _run(self) -> None:
        from .settings import StoreSettings

        _run_daemon(self.settings, StoreSettings, "standins.store", "run_store")


@cappa.command(name="upstream")
@dataclass
class UpstreamCommand(_Command):
    """Run a stand-in for an upstream."""

    settings: SettingsFile

    def _run(self) -> None:
        from .settings import UpstreamSettings

        _run_daemon(self.settings, UpstreamSettings, "standins.upstream", "run_upstream")


@cappa.command(name="balancer")
@dataclass
class BalancerCommand(_Command):
    """Run the stand-in for the platform's load balancer."""

    settings: SettingsFile

    def _run(self) -> None:
        from .settings import BalancerSettings

        _run_daemon(self.settings, BalancerSettings, "standins.balancer", "run_balancer")


@cappa.command(name="check")
@dataclass
class CheckCommand(_Command):
    """Check settings, resources or a platform configuration before they are sent.

    Exit status: 0 no finding, 1 findings, 2 a file or the version in force can't be read.
    """

    files: Annotated[
        list[str], cappa.Arg(num_args=-1, required=True, help="files or directories of resources")
    ]
    against: Annotated[
        str,
        cappa.Arg(
            long="--against",
            value_name="ADDRESS|FILE",
            help="version in force to compare with: a file, or ip:port of an entry or the store",
        ),
    ] = ""
    as_json: Annotated[bool, cappa.Arg(long="--json", help="print JSON for scripts")] = False

    def _run(self) -> None:
        from .command import check

        _exit(lambda: check(self.files, self.against, self.as_json))


@cappa.command(name="explain")
@dataclass
class ExplainCommand(_Command):
    """Print the history of a job from log files, in chronological order."""

    job: Annotated[str, cappa.Arg(help="id of the job")]
    logs: Annotated[list[str], cappa.Arg(help="log files of entries and agents")]

    def _run(self) -> None:
        from .explain import explain

        async def run() -> int:
            lines = [line for log in self.logs for line in Path(log).read_bytes().splitlines()]
            print("\n".join(explain(self.job, lines)))
            return OK

        _exit(run)


@cappa.command(name="apply")
@dataclass
class ApplyCommand(_OperatorCommand):
    """Apply the resources of a file or directory as the declared state."""

    path: Annotated[str, cappa.Arg(help="resource file, or directory of resource files")]
    dry_run: Annotated[bool, cappa.Arg(long="--dry-run", help="only show what would change")] = (
        False
    )
    check: Annotated[
        bool, cappa.Arg(long="--check", help="write nothing if `snipewell check` has findings")
    ] = False
    prune: Annotated[
        bool,
        cappa.Arg(long="--prune", help="delete undeclared resources of the kinds in the files"),
    ] = False

    def _run(self) -> None:
        from .command import apply

        self.operate(
            lambda o: apply(o, self.path, self.dry_run, self.prune, self.output, self.check)
        )


@cappa.command(name="get")
@dataclass
class GetCommand(_OperatorCommand):
    """Show resources with their status."""

    kind: KindName
    name: Annotated[str, cappa.Arg(help="name of one resource; default: all")] = ""

    def _run(self) -> None:
        from .command import get

        self.operate(lambda o: get(o, self.kind, self.name, self.output))


@cappa.command(name="watch")
@dataclass
class WatchCommand(_OperatorCommand):
    """Show resources of a kind, then each change until interrupted."""

    kind: KindName

    def _run(self) -> None:
        from .command import watch

        self.operate(lambda o: watch(o, self.kind, self.output))


@cappa.command(name="submit")
@dataclass
class SubmitCommand(_ClientCommand):
    """Submit the request or job in a file and wait for its outcome."""

    file: Annotated[str, cappa.Arg(help="job file, JSON with comments")]
    key: Annotated[str, cappa.Arg(long="--key", help="idempotency key, overrides the file's")] = ""

    def _run(self) -> None:
        from .command import submit

        self.call(lambda c: submit(c, self.file, self.key, self.output))


@cappa.command(name="cancel")
@dataclass
class CancelCommand(_ClientCommand):
    """Cancel the submission with an idempotency key."""

    key: Annotated[str, cappa.Arg(help="the submission's idempotency key")]

    def _run(self) -> None:
        from .command import cancel

        self.call(lambda c: cancel(c, self.key, self.output))


@cappa.command(name="status")
@dataclass
class StatusCommand(_OperatorCommand):
    """Show the state of entries, availability zones and upstreams."""

    def _run(self) -> None:
        from .command import status

        self.operate(lambda o: status(o, self.output))


@cappa.command(name="zone")
@dataclass
class ZoneCommand(_OperatorCommand):
    """Take an availability zone into or out of service."""

    name: Annotated[str, cappa.Arg(help="the zone, which must be declared as a resource")]
    state: Annotated[str, cappa.Arg(choices=["in", "out"])]

    def _run(self) -> None:
        from .command import set_zone

        self.operate(lambda o: set_zone(o, self.name, self.state == "in", self.output))


@cappa.command(name="drain")
@dataclass
class DrainCommand(_OperatorCommand):
    """Take an upstream or zone out of service and wait until it is idle."""

    url: Annotated[str, cappa.Arg(help="upstreams/NAME, zones/NAME, or its http:// URL")]
    wait_ms: Annotated[int, cappa.Arg(long="--wait-ms", help="how long to wait, in ms")] = 30_000

    def _run(self) -> None:
        from .command import drain, parse_url

        try:
            address, kind, name = parse_url(self.url)
        except ValueError as error:
            _fail(str(error), USAGE)
        self.address = address or self.address
        self.operate(lambda o: drain(o, kind, name, self.wait_ms, self.output))


@cappa.command(name="snipewell")
@dataclass
class Snipewell:
    """Dispatch sub-second tasks.

    Exit status: 0 ok, 1 failed outcome, 2 usage or validation, 3 unreachable, 4 unknown outcome,
    5 not run.
    """

    command: cappa.Subcommands[
        EntryCommand
        | AgentCommand
        | StoreCommand
        | UpstreamCommand
        | BalancerCommand
        | CheckCommand
        | ExplainCommand
        | ApplyCommand
        | GetCommand
        | WatchCommand
        | SubmitCommand
        | CancelCommand
        | StatusCommand
        | ZoneCommand
        | DrainCommand
    ]


def main(argv: list[str] | None = None) -> None:
    """Run the command in ``argv``, by default that of the process, and exit with its status."""
    cappa.invoke(Snipewell, argv=argv, completion=False)


def exit_status(outcome: Outcome) -> int:
    """Return the exit status for the outcome of a submission."""
    from .outcome import Complete, Conflict, Impossible, Invalid, NotRun, Unknown

    match outcome:
        case Complete():
            return OK
        case Invalid() | Impossible() | Conflict():
            return USAGE
        case Unknown():
            return UNKNOWN
        case NotRun():
            return NOT_RUN
    return FAILED


def _run_daemon(path: str, settings_type: type[Settings], module: str, function: str) -> NoReturn:
    from importlib import import_module

    from .settings import load_settings

    async def run() -> int:
        settings = load_settings(path, settings_type)
        status = await getattr(import_module(f"snipewell.{module}"), function)(settings)
        return int(status or OK)

    _exit(run)


def _exit(run: Callable[[], Coroutine[Any, Any, int]]) -> NoReturn:
    """Run a coroutine in a curio kernel and exit with the status that it returns.

    An expected error is printed as one line on stderr and mapped to an exit status.
    """
    import curio

    from .api import ApiError, LostAnswerError, UnreachableError
    from .manifest import ManifestError
    from .outcome import SnipewellError
    from .settings import SettingsError

    try:
        sys.exit(curio.run(run))
    except (ManifestError, SettingsError) as error:
        _fail(str(error), USAGE)
    except ApiError as error:
        _fail(str(error), _EXIT_BY_HTTP_STATUS.get(error.status, USAGE))
    except UnreachableError as error:
        _fail(str(error), UNREACHABLE)
    except LostAnswerError as error:
        _fail(str(error), UNKNOWN)
    except (SnipewellError, OSError) as error:
        _fail(str(error), FAILED)
    except KeyboardInterrupt:
        sys.exit(OK)


def _fail(text: str, status: int) -> NoReturn:
    print(f"snipewell: {text}", file=sys.stderr)
    sys.exit(status)


def _split_addresses(addresses: str) -> list[str]:
    from .address import split_address

    found = [address.strip() for address in addresses.split(",") if address.strip()]
    try:
        for address in found:
            split_address(address)
        if not found:
            raise ValueError("expected ip:port")
    except ValueError as error:
        _fail(f"--address: {error}", USAGE)
    return found
