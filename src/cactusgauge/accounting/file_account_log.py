"""Exported streams, for an audit without access to the log."""

from typing import TYPE_CHECKING

from cactusgauge import exceptions, platform

if TYPE_CHECKING:
    import pathlib

SEPARATOR = b"\t"


class FileAccountLog(platform.LogService):
    """Lines of stream, offset and record with tabs between, as `cactusgauge usage --export` writes them.

    Nothing can be appended.
    """

    def __init__(self, path: "pathlib.Path") -> None:
        self._path = path
        self._streams: dict[str, list[platform.LogRecord]] | None = None

    async def append(self, stream: str, data: bytes) -> int:
        """Raise `LogServiceError`."""
        raise exceptions.LogServiceError(f"{self._path} is an export")

    async def read(self, stream: str, offset: int, limit: int) -> platform.LogPage:
        """Return at most `limit` records from `offset`; raise `LogServiceError` if the file is not an export."""
        if self._streams is None:
            self._streams = self._load()
        records = self._streams.get(stream, [])
        if not records:
            return platform.LogPage([], 0, 0)
        found = [record for record in records if record.offset >= offset][:limit]
        return platform.LogPage(found, records[0].offset, records[-1].offset + 1)

    @staticmethod
    def format_line(stream: str, record: platform.LogRecord) -> bytes:
        """Return the line of a record."""
        return SEPARATOR.join((stream.encode(), b"%d" % record.offset, record.data)) + b"\n"

    def _load(self) -> dict[str, list[platform.LogRecord]]:
        streams: dict[str, list[platform.LogRecord]] = {}
        try:
            for line in self._path.read_bytes().splitlines():
                stream, offset, data = line.split(SEPARATOR, 2)
                streams.setdefault(stream.decode(), []).append(platform.LogRecord(int(offset), data))
        except (OSError, ValueError) as error:
            raise exceptions.LogServiceError(f"{self._path} is no exported accounting stream: {error}") from error
        return streams
