"""Reads exported streams from a file, for an audit without access to the log."""

from typing import TYPE_CHECKING

from cactusgauge import exceptions, log_service

if TYPE_CHECKING:
    import pathlib

SEPARATOR = b"\t"


class FileAccountLog(log_service.LogService):
    """Read-only log in a file written by `cactusgauge usage --export` or `deploy/export_accounts.py`.

    Each line holds stream name, offset and record, separated by tabs.
    """

    def __init__(self, path: "pathlib.Path") -> None:
        self._path = path
        # File position from which to continue reading a stream at an offset.
        self._next_positions: dict[tuple[str, int], int] = {}

    async def append(self, stream: str, data: bytes) -> int:
        """Raise `LogServiceError`, as an export is read-only."""
        raise exceptions.LogServiceError(f"{self._path} is an export and cannot be appended to")

    async def read(self, stream: str, offset: int, limit: int) -> log_service.LogPage:
        """Return at most `limit` records from `offset`; raise `LogServiceError` if the file is not an export."""
        found: list[log_service.LogRecord] = []
        try:
            with self._path.open("rb") as file:
                file.seek(self._next_positions.pop((stream, offset), 0))
                while len(found) < limit and (line := file.readline()):
                    name, number, data = line.rstrip(b"\n").split(SEPARATOR, 2)
                    if name.decode() == stream and int(number) >= offset:
                        found.append(log_service.LogRecord(int(number), data))
                if found:
                    self._next_positions[stream, found[-1].offset + 1] = file.tell()
        except (OSError, ValueError) as error:
            raise exceptions.LogServiceError(f"{self._path} is no exported accounting stream: {error}") from error
        first = found[0].offset if found else offset
        return log_service.LogPage(found, first, found[-1].offset + 1 if found else offset)

    @staticmethod
    def format_line(stream: str, record: log_service.LogRecord) -> bytes:
        """Return the line of the export file for a record."""
        # A line break in a record of another writer would make the rest of the file unreadable; to JSON it is a space.
        data = record.data.replace(b"\n", b" ")
        return SEPARATOR.join((stream.encode(), b"%d" % record.offset, data)) + b"\n"
