"""Interface of the platform's append-only log and its HTTP client."""

from cactusgauge.log_service.http_log_service import HttpLogService
from cactusgauge.log_service.log_service import LogPage, LogRecord, LogService

__all__ = ["HttpLogService", "LogPage", "LogRecord", "LogService"]
