"""An exported accounting stream, for an audit without access to the log."""

from typing import TYPE_CHECKING

from cactusgauge import exceptions, platform

if TYPE_CHECKING:
    import pathlib

SEPARATOR = b"\t"


class FileAccountLog(platform.LogService):
    """Lines of offset, tab and record, as `cactusgauge usage --export` writes them; nothing can be appended."""

    def __init__(self, path: "pathlib.Path") -> None:
        self._path = path
        self._records: list[platform.LogRecord] | None = None

    async def append(self, stream: str, data: bytes) -> int:
        """Raise `LogServiceError`."""
        raise exceptions.LogServiceError(f"{self._path} is an export")

    async def read(self, stream: str, offset: int, limit: int) -> platform.LogPage:
        """Return at most `limit` records from `offset`; raise `LogServiceError` if the file is not an export."""
        if self._records is None:
            self._records = self._load()
        if not self._records:
            return platform.LogPage([], 0, 0)
        found = [record for record in self._records if record.offset >= offset][:limit]
        return platform.LogPage(found, self._records[0].offset, self._records[-1].offset + 1)

    @staticmethod
    def format_line(record: platform.LogRecord) -> bytes:
        """Return the line of a record."""
        return b"%d%s%s\n" % (record.offset, SEPARATOR, record.data)

    def _load(self) -> list[platform.LogRecord]:
        try:
            return [self._parse(line) for line in self._path.read_bytes().splitlines()]
        except (OSError, ValueError) as error:
            raise exceptions.LogServiceError(f"{self._path} is no exported accounting stream: {error}") from error

    @staticmethod
    def _parse(line: bytes) -> platform.LogRecord:
        offset, separator, data = line.partition(SEPARATOR)
        if not separator:
            raise ValueError("a line without an offset")
        return platform.LogRecord(int(offset), data)
