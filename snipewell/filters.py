"""The chain of filters that every HTTP request passes before it reaches the entry's core.

A filter checks one aspect of the request, adds the parsed values to the ``Exchange`` and returns
``Invalid`` to reject it. A rejected request was not accepted; other requests with the same key may
have been.
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

_NAME_PATTERN = re.compile(NAME_PATTERN)
_KEY_PATTERN = re.compile(r"[\x21-\x7e]+\Z")


@dataclass(frozen=True, slots=True)
class Route:
    """The action of a path and method; ``path_parameters`` holds the variable segments."""

    action: str
    path_parameters: dict[str, str] = field(default_factory=dict)
    operator: bool = False

    @property
    def is_submission(self) -> bool:
        """Whether the request submits a single request or a job."""
        return self.action in ("request", "job")

    @property
    def has_key(self) -> bool:
        """Whether the request is about one idempotency key."""
        return self.is_submission or self.action in ("job_status", "job_cancel")


@dataclass(slots=True)
class Exchange:
    """A request in the filter chain, with the values that the filters parsed or looked up."""

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
    """The body of ``POST /v1/keys``: the number of tickets to issue."""

    count: int = 1


def run_filters(chain: Sequence[Filter], exchange: Exchange) -> Invalid | None:
    """Run the filters in order; return the first rejection, or None if all accept the request."""
    for check in chain:
        invalid = check(exchange)
        if invalid is not None:
            return invalid
    return None


_FIXED_ROUTES: dict[tuple[str, ...], dict[str, str]] = {
    ("v1", "jobs"): {"POST": "job"},
    ("v1", "keys"): {"POST": "keys"},
    ("v1", "entries"): {"GET": "entries"},
    ("healthz",): {"GET": "healthz"},
    ("readyz",): {"GET": "readyz"},
    ("metrics",): {"GET": "metrics"},
}
_RESOURCE_KINDS = frozenset(kind.value for kind in Kind) | {"voters"}


def resolve_route(exchange: Exchange) -> Invalid | None:
    """Resolve the path and the method to a route; reject unknown ones with 404 or 405."""
    request = exchange.request
    parts = tuple(request.path.split("/")[1:])
    path_parameters: dict[str, str] = {}
    methods: dict[str, str] = {}
    if parts in _FIXED_ROUTES:
        methods = _FIXED_ROUTES[parts]
    elif len(parts) == 3 and parts[:2] == ("v1", "jobs"):
        path_parameters = {"key": unquote(parts[2])}
        methods = {"GET": "job_status", "DELETE": "job_cancel"}
    elif len(parts) == 4 and parts[:2] == ("v1", "services") and parts[3] == "requests":
        path_parameters = {"service": unquote(parts[2])}
        methods = {"POST": "request"}
    elif len(parts) >= 2 and parts[0] == "v1" and parts[1] in _RESOURCE_KINDS:
        exchange.route = Route("resource", operator=request.method not in ("GET", "HEAD"))
        return None
    if not methods:
        return Invalid(404, f"no such path: {request.path[:200]}", "path")
    method = "GET" if request.method == "HEAD" else request.method
    if method not in methods:
        return Invalid(405, f"expected {' or '.join(methods)}, got {request.method}", "method")
    exchange.route = Route(methods[method], path_parameters)
    return None


def check_size(body_bytes: int) -> Filter:
    """Return a filter that rejects bodies above ``body_bytes``.

    The server stops reading at its own limit; this filter applies it to handlers that are called
    without the server.
    """

    def check(exchange: Exchange) -> Invalid | None:
        if len(exchange.request.body) > body_bytes:
            return Invalid(413, f"the body exceeds {body_bytes} bytes", "body")
        return None

    return check


def require_operator(token: str | None) -> Filter:
    """Return a filter that requires ``Authorization: Bearer <token>`` for operators' writes.

    Without a ``token``, it accepts every request.
    """

    def check(exchange: Exchange) -> Invalid | None:
        if token is None or not exchange.route.operator:
            return None
        given = exchange.request.headers.get("authorization", "")
        if hmac.compare_digest(given.encode(), f"Bearer {token}".encode()):
            return None
        return Invalid(401, "expected the operators' token as a bearer token", "Authorization")

    return check


def parse_team(exchange: Exchange) -> Invalid | None:
    """Read the client account from ``Snipewell-Team`` or the query; it is ``default`` otherwise."""
    if not exchange.route.has_key:
        return None
    request = exchange.request
    team = request.headers.get("snipewell-team") or request.query.get("team") or DEFAULT_TEAM
    if _NAME_PATTERN.match(team) is None:
        return Invalid(400, "expected a name of a-z, 0-9 and -", "Snipewell-Team")
    exchange.team = TeamName(team)
    return None


def parse_idempotency_key(key_bytes: int) -> Filter:
    """Return a filter that reads the key: printable ASCII of at most ``key_bytes`` bytes."""

    def check(exchange: Exchange) -> Invalid | None:
        route = exchange.route
        if not route.has_key:
            return None
        name = "Idempotency-Key" if route.is_submission else "key"
        key = exchange.request.headers.get("idempotency-key", "")
        if not route.is_submission:
            key = route.path_parameters["key"]
        if not key:
            return Invalid(400, "expected a key that names this submission", name)
        if len(key) > key_bytes:
            return Invalid(400, f"expected at most {key_bytes} bytes, got {len(key)}", name)
        if _KEY_PATTERN.match(key) is None:
            return Invalid(400, "expected printable ASCII without spaces", name)
        exchange.key = key
        return None

    return check


def parse_deadline(max_deadline_ms: float) -> Filter:
    """Return a filter that reads ``Deadline-Ms`` of submissions and ``wait`` of status requests.

    Values above ``max_deadline_ms`` are rejected.
    """

    def check(exchange: Exchange) -> Invalid | None:
        request = exchange.request
        if exchange.route.is_submission:
            text, name = request.headers.get("deadline-ms"), "Deadline-Ms"
        elif exchange.route.action == "job_status":
            text, name = request.query.get("wait"), "wait"
        else:
            return None
        if text is None:
            return None
        value = _parse_ms(text)
        if (
            value is None
            or (value <= 0 and exchange.route.is_submission)
            or value > max_deadline_ms
        ):
            reason = f"expected milliseconds up to {max_deadline_ms:g}, got {text[:40]!r}"
            return Invalid(400, reason, name)
        if exchange.route.is_submission:
            exchange.deadline_ms = value
        else:
            exchange.wait_ms = value
        return None

    return check


def parse_body(exchange: Exchange) -> Invalid | None:
    """Parse the body: raw for a single request, JSON for a job and for tickets."""
    body = exchange.request.body
    match exchange.route.action:
        case "request":
            exchange.service = ServiceName(exchange.route.path_parameters["service"])
            exchange.tasks = [body]
        case "job":
            return _parse_job(exchange, body)
        case "keys":
            return _parse_keys(exchange, body)
    return None


def resolve_service(
    lookup: Callable[[ServiceName], ServiceSpec | None], is_loaded: Callable[[], bool]
) -> Filter:
    """Return a filter that looks up the service of a submission and checks its limits.

    While ``is_loaded`` returns False, it answers 503 for every service, because the services that
    exist are not known yet.
    """

    def check(exchange: Exchange) -> Invalid | None:
        if not exchange.route.is_submission:
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
    requested = job.resources
    if requested is not None:
        if not math.isfinite(requested.cores) or min(requested.cores, requested.memory_mb) < 0:
            return Invalid(400, "expected amounts of at least 0", "resources")
        if requested.accelerators < 0:
            return Invalid(400, "expected an amount of at least 0", "resources.accelerators")
    exchange.service = ServiceName(job.service)
    # A Raw refers to the whole body; copying its own bytes lets the body be freed.
    exchange.tasks = [bytes(task) for task in job.tasks]
    exchange.resources = requested
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
    """Return the decimal number in ``text``, or None if it is not finite or not a number."""
    if re.fullmatch(r"\d{1,12}(\.\d{1,6})?", text, re.ASCII) is None:
        return None
    return float(text)
