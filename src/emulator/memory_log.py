"""An in-memory version of the platform's log that can inject the faults of the real one."""

import asyncio
from typing import TYPE_CHECKING

import pydantic

from cactusgauge import exceptions
from cactusgauge.log_service import log_service

if TYPE_CHECKING:
    from collections import abc


class LogFaults(pydantic.BaseModel):
    """Active faults; `lose_replies` is the number of the next appends that take effect but return an error."""

    model_config = pydantic.ConfigDict(extra="forbid")

    unavailable: bool = False
    delay_s: float = pydantic.Field(default=0.0, ge=0)
    lose_replies: int = pydantic.Field(default=0, ge=0)
    appends_per_s: float | None = pydantic.Field(default=None, gt=0)


class MemoryLog(log_service.LogService):
    """Holds streams in memory; `on_append`, if set, is called with the stream and the offset after each append."""

    def __init__(self) -> None:
        self.faults = LogFaults()
        self.on_append: abc.Callable[[str, int], None] | None = None
        self._streams: dict[str, list[bytes]] = {}
        self._first_offsets: dict[str, int] = {}
        self._next_append_at = 0.0

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        await self._delay_or_fail()
        self._check_append_rate()
        offset = self.append_without_faults(stream, data)
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            raise exceptions.LogServiceError("reply lost after the append took effect")
        return offset

    async def read(self, stream: str, offset: int, limit: int) -> log_service.LogPage:
        """Return at most `limit` records from `offset`, or from the first one retained if that is higher."""
        await self._delay_or_fail()
        records = self._streams.get(stream, [])
        first = self._first_offsets.get(stream, 0)
        start = max(offset, first)
        page = [log_service.LogRecord(start + index, data) for index, data in enumerate(records[start : start + limit])]
        return log_service.LogPage(page, first, len(records))

    def append_without_faults(self, stream: str, data: bytes) -> int:
        """Append a record regardless of the active faults and return its offset."""
        records = self._streams.setdefault(stream, [])
        records.append(data)
        offset = len(records) - 1
        if self.on_append is not None:
            self.on_append(stream, offset)
        return offset

    def trim(self, stream: str, first_offset: int) -> None:
        """Remove the records below an offset."""
        end = len(self._streams.get(stream, []))
        first = min(max(first_offset, self._first_offsets.get(stream, 0)), end)
        self._first_offsets[stream] = first

    async def _delay_or_fail(self) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.unavailable:
            raise exceptions.LogServiceError("log unavailable")

    def _check_append_rate(self) -> None:
        if self.faults.appends_per_s is None:
            return
        now = asyncio.get_running_loop().time()
        if now < self._next_append_at:
            raise exceptions.LogServiceError("append rate exceeded")
        self._next_append_at = now + 1 / self.faults.appends_per_s
