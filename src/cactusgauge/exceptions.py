"""Exceptions with stable codes.

Every exception that can reach a caller carries a code, an HTTP status and whether the request may have been executed.
"""

import enum


class ExecutionStatus(enum.Enum):
    """What an error response states about the execution of the request."""

    NOTHING_RAN = "nothing"
    UNKNOWN = "unknown"


class CactusgaugeError(Exception):
    """Base of all errors of this package.

    `code` is stable across releases. `ran` states whether the request may have been executed, and `retry_after_s` is
    the number of seconds that a caller should wait before a retry, or None without such advice.
    """

    code = "internal"
    http_status = 500
    ran = ExecutionStatus.UNKNOWN
    retry_after_s: float | None = None


class ProtocolError(CactusgaugeError):
    """A peer sent a frame that violates the protocol; its connection is closed."""

    code = "protocol_error"


class LinkClosedError(CactusgaugeError):
    """The connection to a peer process is closed."""

    code = "link_closed"


class LeaseEndedError(CactusgaugeError):
    """The lease of the backend server ended before the task was sent to that server; nothing ran."""

    code = "lease_ended"
    ran = ExecutionStatus.NOTHING_RAN


class SettingsError(CactusgaugeError):
    """The settings are invalid; the message lists all findings."""

    code = "bad_settings"


class ConfigError(CactusgaugeError):
    """A configuration cannot be read."""

    code = "bad_config"


class LogServiceError(CactusgaugeError):
    """The platform's log did not answer; an append may or may not have taken effect."""

    code = "log_unavailable"


class PublishError(CactusgaugeError):
    """It could not be determined in time whether a change was accepted."""

    code = "publish_unknown"


class LogGapError(LogServiceError):
    """Required records are no longer retained, and nothing on the log replaces them."""

    code = "log_gap"


class AccountingError(CactusgaugeError):
    """A record on the accounting stream is malformed."""

    code = "bad_account_record"


class RequestError(CactusgaugeError):
    """A caller's request is refused; no part of it was executed unless `ran` says otherwise."""

    code = "bad_request"
    http_status = 400
    ran = ExecutionStatus.NOTHING_RAN


class BodyTooLargeError(RequestError):
    """The request body exceeds a limit in bytes."""

    code = "body_too_large"
    http_status = 413


class TooManyTasksError(RequestError):
    """The job exceeds the workspace's limit on tasks."""

    code = "too_many_tasks"
    http_status = 413


class UnknownWorkspaceError(RequestError):
    """The configuration in force does not contain the workspace."""

    code = "unknown_workspace"
    http_status = 404


class UnknownJobError(RequestError):
    """The session has no job with that number."""

    code = "unknown_job"
    http_status = 404


class SessionExpiredError(RequestError):
    """The entry that owned the session has discarded it; its jobs may have run."""

    code = "session_expired"
    http_status = 410
    ran = ExecutionStatus.UNKNOWN


class SessionClosedError(RequestError):
    """The entry that owned the session was stopped; its sessions accept no new jobs."""

    code = "session_closed"
    http_status = 410


class JobExpiredError(RequestError):
    """The job is not kept, and its number is not above the highest evicted one (the watermark); it may have run."""

    code = "job_expired"
    http_status = 410
    ran = ExecutionStatus.UNKNOWN


class JobConflictError(RequestError):
    """The job's number was already used with a different body."""

    code = "job_conflict"
    http_status = 409


class OverloadedError(RequestError):
    """The workspace's queue is full."""

    code = "overloaded"
    http_status = 503
    retry_after_s = 1.0


class JobNeverFitsError(RequestError):
    """The job has more tasks than the workspace's queue may ever hold."""

    code = "job_never_fits"
    http_status = 413


class DeadlineTooShortError(RequestError):
    """The job would miss its deadline even on idle workers."""

    code = "deadline_too_short"
    http_status = 422


class DeadlineUnattainableError(RequestError):
    """The job would miss its deadline because of the work ahead of it."""

    code = "deadline_unattainable"
    http_status = 503
    retry_after_s = 1.0


class DrainingError(RequestError):
    """The entry is being stopped and accepts no new work."""

    code = "draining"
    http_status = 503
    retry_after_s = 0.0


class NotReadyError(RequestError):
    """The entry has no configuration yet."""

    code = "not_ready"
    http_status = 503
    retry_after_s = 1.0


class IncarnationChangedError(RequestError):
    """The process has restarted since its status was read."""

    code = "incarnation_changed"
    http_status = 409


class OwnerSlowError(CactusgaugeError):
    """The entry that owns the session is alive but did not answer in time."""

    code = "owner_slow"
    http_status = 504
    retry_after_s = 1.0
