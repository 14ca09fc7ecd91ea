"""All error kinds and, for each of them, the status and text of the response."""

import enum

__all__ = ["ErrorSpec", "ErrorKind", "RunStatus", "UserError", "error_spec"]


class RunStatus(enum.StrEnum):
    """Whether a target has run the request, as stated in the response."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class ErrorKind(enum.StrEnum):
    """Every error that callers and operators can get.

    NO_HOME means that no coordinator of the pool answers, ANSWER_LOST that
    the response was lost or that it is unknown whether the request ran before, and
    RESIDENCE that no target in the allowed regions can serve it in time.
    """

    BAD_REQUEST = "bad-request"
    BAD_DEADLINE = "bad-deadline"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_PATH = "unknown-path"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_ROUTE = "unknown-route"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_TIER = "unknown-tier"
    TOO_LARGE = "too-large"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    KEY_EXPIRED = "key-expired"
    KEY_IN_USE = "key-in-use"
    DEADLINE_INFEASIBLE = "deadline-infeasible"
    DEADLINE_WAITING = "deadline-waiting"
    SHED = "shed"
    OVER_QUOTA = "over-quota"
    SUSPECT_REQUEST = "suspect-request"
    NO_TARGET = "no-target"
    RESIDENCE = "residence"
    NO_HOME = "no-home"
    LEDGER_UNAVAILABLE = "ledger-unavailable"
    CONFIG_UNAVAILABLE = "config-unavailable"
    CONFIG_CONFLICT = "config-conflict"
    CONFIG_INVALID = "config-invalid"
    TARGET_REFUSED = "target-refused"
    TARGET_FAILED = "target-failed"
    ANSWER_LOST = "answer-lost"
    DEADLINE_RUNNING = "deadline-running"
    STOPPING = "stopping"
    INTERNAL = "internal"


class ErrorSpec:
    """Response for one error kind.

    `run` is the default `RunStatus`; `retry_after` is in seconds, None for no hint.
    """

    __slots__ = ("retry_after", "run", "status", "title")

    def __init__(self, status, run, title, retry_after=None):
        self.status = status
        self.run = run
        self.title = title
        self.retry_after = retry_after


_SPECS = {
    ErrorKind.BAD_REQUEST: ErrorSpec(400, RunStatus.NO, "The request is malformed"),
    ErrorKind.BAD_DEADLINE: ErrorSpec(400, RunStatus.NO, "The deadline is not allowed"),
    ErrorKind.UNAUTHENTICATED: ErrorSpec(401, RunStatus.NO, "The key is not known"),
    ErrorKind.FORBIDDEN: ErrorSpec(403, RunStatus.NO, "The key may not do this"),
    ErrorKind.UNKNOWN_PATH: ErrorSpec(404, RunStatus.NO, "The path does not exist"),
    ErrorKind.UNKNOWN_MODEL: ErrorSpec(404, RunStatus.NO, "The model does not exist"),
    ErrorKind.UNKNOWN_ROUTE: ErrorSpec(404, RunStatus.NO, "The route does not exist"),
    ErrorKind.UNKNOWN_SERVICE: ErrorSpec(
        404, RunStatus.NO, "The service does not exist"
    ),
    ErrorKind.UNKNOWN_TIER: ErrorSpec(400, RunStatus.NO, "The tier is not allowed"),
    ErrorKind.TOO_LARGE: ErrorSpec(413, RunStatus.NO, "The body is too large"),
    ErrorKind.KEY_REQUIRED: ErrorSpec(
        400, RunStatus.NO, "An Idempotency-Key is required"
    ),
    ErrorKind.KEY_REUSED: ErrorSpec(
        422, RunStatus.NO, "The key came with another body"
    ),
    ErrorKind.KEY_EXPIRED: ErrorSpec(422, RunStatus.NO, "The key is past its horizon"),
    ErrorKind.KEY_IN_USE: ErrorSpec(
        409, RunStatus.MAYBE, "The key is being recorded", 1
    ),
    ErrorKind.DEADLINE_INFEASIBLE: ErrorSpec(
        503, RunStatus.NO, "No target can finish by the deadline"
    ),
    ErrorKind.DEADLINE_WAITING: ErrorSpec(
        503, RunStatus.NO, "The deadline neared in queue", 1
    ),
    ErrorKind.SHED: ErrorSpec(429, RunStatus.NO, "The queue is full for this tier", 1),
    ErrorKind.OVER_QUOTA: ErrorSpec(
        429, RunStatus.NO, "The account is over its quota", 1
    ),
    ErrorKind.SUSPECT_REQUEST: ErrorSpec(
        422, RunStatus.NO, "This request crashed targets"
    ),
    ErrorKind.NO_TARGET: ErrorSpec(503, RunStatus.NO, "No target is in service", 1),
    ErrorKind.RESIDENCE: ErrorSpec(
        503, RunStatus.NO, "No target in the allowed regions can serve it", 1
    ),
    ErrorKind.NO_HOME: ErrorSpec(503, RunStatus.NO, "No node answers for the pool", 1),
    ErrorKind.LEDGER_UNAVAILABLE: ErrorSpec(
        503, RunStatus.NO, "No claim can be written", 1
    ),
    ErrorKind.CONFIG_UNAVAILABLE: ErrorSpec(
        503, RunStatus.NO, "The store does not answer", 1
    ),
    ErrorKind.CONFIG_CONFLICT: ErrorSpec(409, RunStatus.NO, "The version has moved on"),
    ErrorKind.CONFIG_INVALID: ErrorSpec(
        422, RunStatus.NO, "The configuration is invalid"
    ),
    ErrorKind.TARGET_REFUSED: ErrorSpec(
        503, RunStatus.NO, "The target refused the work", 1
    ),
    ErrorKind.TARGET_FAILED: ErrorSpec(502, RunStatus.MAYBE, "The target failed"),
    ErrorKind.ANSWER_LOST: ErrorSpec(502, RunStatus.MAYBE, "The answer was lost"),
    ErrorKind.DEADLINE_RUNNING: ErrorSpec(504, RunStatus.MAYBE, "The deadline passed"),
    ErrorKind.STOPPING: ErrorSpec(503, RunStatus.NO, "The node is stopping", 1),
    ErrorKind.INTERNAL: ErrorSpec(500, RunStatus.MAYBE, "The node met a fault"),
}


def error_spec(kind):
    """Return the `ErrorSpec` of an `ErrorKind`; every kind has one."""
    return _SPECS[kind]


class UserError(Exception):
    """An error for the user of a command, printed as one sentence."""


class RequestError(Exception):
    """An error for a caller: its kind, a detail and whether the request was run.

    `run` defaults to the value for the kind. Pass it only where more is known, for
    example that no target can have received the request.
    """

    def __init__(self, kind, detail="", run=None, retry_after=None):
        super().__init__(detail or kind.value)
        spec = error_spec(kind)
        self.kind = kind
        self.detail = detail
        self.run = run or spec.run
        self.retry_after = retry_after or spec.retry_after
