"""The platform's services behind narrow abstract classes."""

from cactusgauge.platform.http_log_service import HttpLogService
from cactusgauge.platform.log_service import LogPage, LogRecord, LogService

__all__ = ["HttpLogService", "LogPage", "LogRecord", "LogService"]
