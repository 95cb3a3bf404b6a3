"""An exported accounting stream, for an audit without access to the log."""

from typing import TYPE_CHECKING

from cactusgauge import exceptions
from cactusgauge.accounting import account_log

if TYPE_CHECKING:
    import pathlib

SEPARATOR = b"\t"


class FileAccountLog:
    """Lines of offset, tab and record, as `cactusgauge usage --export` writes them; nothing can be appended."""

    def __init__(self, path: "pathlib.Path") -> None:
        self._path = path

    async def append(self, stream: str, data: bytes) -> int:
        """Raise `LogServiceError`."""
        raise exceptions.LogServiceError(f"{self._path} is an export")

    async def read_from(self, stream: str, offset: int) -> list[account_log.LogEntry]:
        """Return all records at or after an offset; raise `LogServiceError` if the file is not an export."""
        try:
            entries = [self._entry(line) for line in self._path.read_bytes().splitlines()]
        except (OSError, ValueError) as error:
            raise exceptions.LogServiceError(f"{self._path} is no exported accounting stream: {error}") from error
        return [entry for entry in entries if entry.offset >= offset]

    @staticmethod
    def format_line(entry: account_log.LogEntry) -> bytes:
        """Return the line of a record."""
        return b"%d%s%s\n" % (entry.offset, SEPARATOR, entry.data)

    @staticmethod
    def _entry(line: bytes) -> account_log.LogEntry:
        offset, separator, data = line.partition(SEPARATOR)
        if not separator:
            raise ValueError("a line without an offset")
        return account_log.LogEntry(int(offset), data)
