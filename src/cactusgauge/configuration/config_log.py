"""Reads and appends to the configuration stream of the platform log."""

from typing import TYPE_CHECKING

import pydantic

from cactusgauge import exceptions
from cactusgauge.configuration import config_state, snapshot_rule, state_document

if TYPE_CHECKING:
    from cactusgauge import log_service
    from cactusgauge.configuration import change_record

STREAM = "configuration"
PAGE_RECORDS = 200
MAX_SNAPSHOT_SCANS = 3  # a scan is repeated only if the log was trimmed meanwhile
SNAPSHOT_MARKER = b'"kind":"snapshot"'  # only records with these bytes are parsed as snapshots


class ConfigLog:
    """Builds the configuration state from the log; the state may also adopt a document from a peer at any time."""

    def __init__(
        self,
        log: "log_service.LogService",
        state: config_state.ConfigState | None = None,
        rule: snapshot_rule.SnapshotRule | None = None,
    ) -> None:
        self._log = log
        self._state = state or config_state.ConfigState()
        self._rule = rule or snapshot_rule.ThroughOffsetRule()
        self._snapshot_through: int | None = None

    @property
    def state(self) -> config_state.ConfigState:
        """The state after the last record read."""
        return self._state

    @property
    def snapshot_through(self) -> int | None:
        """The highest offset covered by a snapshot read from the log, or None without one."""
        return self._snapshot_through

    async def catch_up(self) -> int:
        """Apply all records up to the end of the log and return the end offset.

        Raise `LogServiceError` if the log does not respond, and `LogGapError` if required records have been trimmed and
        no snapshot on the log covers them.
        """
        scans = 0
        while True:
            page = await self._log.read(STREAM, self._state.through + 1, PAGE_RECORDS)
            if page.first_offset > self._state.through + 1:
                if scans == MAX_SNAPSHOT_SCANS:
                    raise exceptions.LogGapError("the log is trimmed faster than it can be read")
                scans += 1
                await self._start_from_snapshot(page.first_offset, page.end_offset)
                continue
            for record in page.records:
                self._track_snapshot(record.data)
                self._state.apply(record.offset, record.data)
            if self._state.through + 1 >= page.end_offset or not page.records:
                return page.end_offset

    async def append_change(self, change: "change_record.ChangeRecord") -> int:
        """Append a change and return its offset; after a `LogServiceError` it is unknown whether it was appended."""
        return await self._log.append(STREAM, change.model_dump_json().encode())

    async def append_snapshot(self) -> int:
        """Append a snapshot and return its offset.

        Concurrent writers are safe, as each snapshot names the offset that it covers.
        """
        snapshot = state_document.SnapshotRecord.model_construct(state=self._state.document())
        return await self._log.append(STREAM, snapshot.model_dump_json().encode())

    async def _start_from_snapshot(self, first_offset: int, end_offset: int) -> None:
        """Adopt the usable snapshot between the two offsets that covers the highest offset."""
        best: state_document.StateDocument | None = None
        offset = first_offset
        while offset < end_offset:
            page = await self._log.read(STREAM, offset, PAGE_RECORDS)
            if not page.records:
                break
            for record in page.records:
                snapshot = self._parse_snapshot(record.data)
                usable = self._rule.usable_state(snapshot, record.offset, page.first_offset) if snapshot else None
                if usable is not None and (best is None or usable.through > best.through):
                    best = usable
            offset = page.records[-1].offset + 1
        if best is None:
            raise exceptions.LogGapError(
                f"the log is trimmed up to offset {first_offset} and has no usable snapshot; "
                f"the last applied record is {self._state.through}"
            )
        self._state.adopt(best)

    def _track_snapshot(self, data: bytes) -> None:
        snapshot = self._parse_snapshot(data)
        if snapshot is not None:
            self._snapshot_through = max(snapshot.through, self._snapshot_through or 0)

    @staticmethod
    def _parse_snapshot(data: bytes) -> state_document.StateDocument | None:
        if SNAPSHOT_MARKER not in data:
            return None
        try:
            return state_document.SnapshotRecord.model_validate_json(data).state
        except pydantic.ValidationError:
            return None
