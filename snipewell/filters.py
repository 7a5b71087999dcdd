"""The chain of filters that every HTTP request passes before it reaches the entry's core.

A filter looks at one aspect of the request, adds what it learned to the ``Exchange`` and returns
``Invalid`` to refuse. A refused attempt was not accepted; that says nothing of other attempts.
"""

from __future__ import annotations

import hmac
import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from urllib.parse import unquote

import msgspec

from .ids import ServiceName, TeamName
from .message import Resources
from .outcome import Invalid
from .resource import NAME_PATTERN, Kind, ServiceSpec
from .web import Request

DEFAULT_TEAM = TeamName("default")
MAX_TICKETS = 1_000

_NAME = re.compile(NAME_PATTERN)
_KEY = re.compile(r"[\x21-\x7e]+\Z")


@dataclass(frozen=True, slots=True)
class Route:
    """What a path and method stand for; ``names`` holds the variable segments."""

    action: str
    names: dict[str, str] = field(default_factory=dict)
    operator: bool = False

    @property
    def submits(self) -> bool:
        """Whether the request hands in work."""
        return self.action in ("request", "job")

    @property
    def keyed(self) -> bool:
        """Whether the request is about one idempotency key."""
        return self.submits or self.action in ("job_status", "job_cancel")


@dataclass(slots=True)
class Exchange:
    """A request on its way through the chain, with what the filters found out."""

    request: Request
    route: Route = field(default_factory=lambda: Route(""))
    team: TeamName = DEFAULT_TEAM
    key: str = ""
    service: ServiceName = ServiceName("")
    spec: ServiceSpec | None = None
    tasks: list[bytes] = field(default_factory=list)
    resources: Resources | None = None
    deadline_ms: float = 0.0
    wait_ms: float = 0.0
    count: int = 1


Filter = Callable[[Exchange], Invalid | None]


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /v1/jobs``; the payload of a task is the JSON text of its element."""

    service: str
    tasks: list[msgspec.Raw]
    resources: Resources | None = None


class KeysBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /v1/keys``."""

    count: int = 1


def run_filters(chain: Sequence[Filter], exchange: Exchange) -> Invalid | None:
    """Run the filters in order; return the first refusal, or None if all let it pass."""
    for check in chain:
        invalid = check(exchange)
        if invalid is not None:
            return invalid
    return None


_FIXED: dict[tuple[str, ...], dict[str, str]] = {
    ("v1", "jobs"): {"POST": "job"},
    ("v1", "keys"): {"POST": "keys"},
    ("v1", "entries"): {"GET": "entries"},
    ("healthz",): {"GET": "healthz"},
    ("readyz",): {"GET": "readyz"},
    ("metrics",): {"GET": "metrics"},
}
_KINDS = frozenset(kind.value for kind in Kind) | {"voters"}


def filter_route(exchange: Exchange) -> Invalid | None:
    """Find out what the path and the method stand for; refuse unknown ones with 404 or 405."""
    request = exchange.request
    parts = tuple(request.path.split("/")[1:])
    names: dict[str, str] = {}
    methods: dict[str, str] = {}
    if parts in _FIXED:
        methods = _FIXED[parts]
    elif len(parts) == 3 and parts[:2] == ("v1", "jobs"):
        names = {"key": unquote(parts[2])}
        methods = {"GET": "job_status", "DELETE": "job_cancel"}
    elif len(parts) == 4 and parts[:2] == ("v1", "services") and parts[3] == "requests":
        names = {"service": unquote(parts[2])}
        methods = {"POST": "request"}
    elif len(parts) >= 2 and parts[0] == "v1" and parts[1] in _KINDS:
        exchange.route = Route("resource", operator=request.method not in ("GET", "HEAD"))
        return None
    if not methods:
        return Invalid(404, f"no such path: {request.path[:200]}", "path")
    method = "GET" if request.method == "HEAD" else request.method
    if method not in methods:
        return Invalid(405, f"expected {' or '.join(methods)}, got {request.method}", "method")
    exchange.route = Route(methods[method], names)
    return None


def limit_size(body_bytes: int) -> Filter:
    """Return a filter that refuses bodies above ``body_bytes``.

    The server stops reading at its own bound; this one holds for handlers called without it.
    """

    def check(exchange: Exchange) -> Invalid | None:
        if len(exchange.request.body) > body_bytes:
            return Invalid(413, f"the body exceeds {body_bytes} bytes", "body")
        return None

    return check


def require_operator(token: str | None) -> Filter:
    """Return a filter that demands ``Authorization: Bearer <token>`` for operators' writes."""

    def check(exchange: Exchange) -> Invalid | None:
        if token is None or not exchange.route.operator:
            return None
        given = exchange.request.headers.get("authorization", "")
        if hmac.compare_digest(given.encode(), f"Bearer {token}".encode()):
            return None
        return Invalid(401, "expected the operators' token as a bearer token", "Authorization")

    return check


def filter_team(exchange: Exchange) -> Invalid | None:
    """Read the team from ``Snipewell-Team`` or the query, ``default`` without either."""
    if not exchange.route.keyed:
        return None
    request = exchange.request
    team = request.headers.get("snipewell-team") or request.query.get("team") or DEFAULT_TEAM
    if _NAME.match(team) is None:
        return Invalid(400, "expected a name of a-z, 0-9 and -", "Snipewell-Team")
    exchange.team = TeamName(team)
    return None


def limit_key(key_bytes: int) -> Filter:
    """Return a filter that reads the idempotency key, of at most ``key_bytes`` bytes."""

    def check(exchange: Exchange) -> Invalid | None:
        route = exchange.route
        if not route.keyed:
            return None
        name = "Idempotency-Key" if route.submits else "key"
        key = exchange.request.headers.get("idempotency-key", "")
        if not route.submits:
            key = route.names["key"]
        if not key:
            return Invalid(400, "expected a key that names this submission", name)
        if len(key) > key_bytes:
            return Invalid(400, f"expected at most {key_bytes} bytes, got {len(key)}", name)
        if _KEY.match(key) is None:
            return Invalid(400, "expected printable ASCII without spaces", name)
        exchange.key = key
        return None

    return check


def limit_deadline(max_deadline_ms: float) -> Filter:
    """Return a filter that reads ``Deadline-Ms`` of submissions and ``wait`` of status requests."""

    def check(exchange: Exchange) -> Invalid | None:
        request = exchange.request
        if exchange.route.submits:
            text, name = request.headers.get("deadline-ms"), "Deadline-Ms"
        elif exchange.route.action == "job_status":
            text, name = request.query.get("wait"), "wait"
        else:
            return None
        if text is None:
            return None
        value = _parse_ms(text)
        if value is None or (value <= 0 and exchange.route.submits) or value > max_deadline_ms:
            reason = f"expected milliseconds up to {max_deadline_ms:g}, got {text[:40]!r}"
            return Invalid(400, reason, name)
        if exchange.route.submits:
            exchange.deadline_ms = value
        else:
            exchange.wait_ms = value
        return None

    return check


def filter_body(exchange: Exchange) -> Invalid | None:
    """Parse the body: raw for a single request, JSON for a job and for tickets."""
    body = exchange.request.body
    match exchange.route.action:
        case "request":
            exchange.service = ServiceName(exchange.route.names["service"])
            exchange.tasks = [body]
        case "job":
            return _parse_job(exchange, body)
        case "keys":
            return _parse_keys(exchange, body)
    return None


def find_service(
    lookup: Callable[[ServiceName], ServiceSpec | None], is_loaded: Callable[[], bool]
) -> Filter:
    """Return a filter that finds the service of a submission and checks its limits.

    While ``is_loaded`` returns False, no service is known and no statement about one is possible.
    """

    def check(exchange: Exchange) -> Invalid | None:
        if not exchange.route.submits:
            return None
        if not is_loaded():
            return Invalid(
                503, "the configuration is not loaded yet; this attempt was not accepted"
            )
        spec = lookup(exchange.service)
        if spec is None:
            return Invalid(404, f"no such service: {exchange.service[:63]!r}", "service")
        return _check_service(exchange, spec)

    return check


def _check_service(exchange: Exchange, spec: ServiceSpec) -> Invalid | None:
    if len(exchange.tasks) > spec.max_tasks:
        reason = f"expected at most {spec.max_tasks} tasks, got {len(exchange.tasks)}"
        return Invalid(413, reason, "tasks")
    for index, payload in enumerate(exchange.tasks):
        if len(payload) > spec.max_payload_bytes:
            name = f"tasks[{index}]" if exchange.route.action == "job" else "body"
            reason = f"expected at most {spec.max_payload_bytes} bytes, got {len(payload)}"
            return Invalid(413, reason, name)
    exchange.spec = spec
    exchange.deadline_ms = exchange.deadline_ms or float(spec.deadline_ms)
    exchange.resources = exchange.resources or spec.resources
    return None


def _parse_job(exchange: Exchange, body: bytes) -> Invalid | None:
    try:
        job = msgspec.json.decode(body, type=JobBody)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return _invalid_json(error)
    if not job.tasks:
        return Invalid(400, "expected at least one task", "tasks")
    wanted = job.resources
    if wanted is not None:
        if not math.isfinite(wanted.cores) or min(wanted.cores, wanted.memory_mb) < 0:
            return Invalid(400, "expected amounts of at least 0", "resources")
        if wanted.accelerators < 0:
            return Invalid(400, "expected an amount of at least 0", "resources.accelerators")
    exchange.service = ServiceName(job.service)
    # A Raw refers to the whole body; its own bytes are copied so that the body can go.
    exchange.tasks = [bytes(task) for task in job.tasks]
    exchange.resources = wanted
    return None


def _parse_keys(exchange: Exchange, body: bytes) -> Invalid | None:
    try:
        keys = msgspec.json.decode(body, type=KeysBody) if body else KeysBody()
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return _invalid_json(error)
    if not 1 <= keys.count <= MAX_TICKETS:
        return Invalid(400, f"expected 1 to {MAX_TICKETS}, got {keys.count}", "count")
    exchange.count = keys.count
    return None


def _invalid_json(error: Exception) -> Invalid:
    reason, _, path = str(error).partition(" - at ")
    named = re.search(r"field `(\w+)`", reason)
    name = path.strip("`").removeprefix("$").removeprefix(".") or (named[1] if named else "body")
    return Invalid(400, reason, name)


def _parse_ms(text: str) -> float | None:
    """Return the number in ``text``, or None if it is not finite or not a number."""
    if re.fullmatch(r"\d{1,12}(\.\d{1,6})?", text, re.ASCII) is None:
        return None
    return float(text)
