"""File that keeps a session and its last job number between commands."""

import contextlib
import fcntl
import os
import pathlib
from typing import TYPE_CHECKING

import pydantic

from cactusgauge import exceptions, ids

if TYPE_CHECKING:
    from collections import abc

FIRST_NUMBER = 1


class SessionRecord(pydantic.BaseModel):
    """Content of the file; `last_number` is the highest job number that was reserved.

    A session is lost if its owner was lost. It takes no new jobs, but the answers of its jobs can still be requested.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    workspace: str
    session: ids.SessionId
    last_number: int = pydantic.Field(default=FIRST_NUMBER - 1, ge=FIRST_NUMBER - 1)
    lost: bool = False


class SessionFile:
    """Reserves job numbers; a number is on disk before it is used, so that no two jobs get the same number."""

    def __init__(self, path: pathlib.Path, workspace: str) -> None:
        self._path = path
        self._workspace = workspace

    def read(self) -> SessionRecord | None:
        """Return the record, or None if there is none yet; raise `SettingsError` if the file is invalid."""
        with self._open_locked() as descriptor:
            return self._read_record(descriptor)

    def reserve_number(self) -> SessionRecord | None:
        """Increment the last number and return the record, or None if a new session is needed."""
        with self._open_locked() as descriptor:
            record = self._read_record(descriptor)
            if record is None or record.lost:
                return None
            reserved = record.model_copy(update={"last_number": record.last_number + 1})
            self._write_record(descriptor, reserved)
            return reserved

    def replace(self, session: ids.SessionId) -> SessionRecord:
        """Store a new session with its first number reserved, and return the record."""
        with self._open_locked() as descriptor:
            record = SessionRecord(workspace=self._workspace, session=session, last_number=FIRST_NUMBER)
            self._write_record(descriptor, record)
            return record

    def mark_lost(self, session: ids.SessionId) -> None:
        """Record that the owner of the session was lost; does nothing if the session was replaced meanwhile."""
        with self._open_locked() as descriptor:
            record = self._read_record(descriptor)
            if record is not None and record.session == session:
                self._write_record(descriptor, record.model_copy(update={"lost": True}))

    @contextlib.contextmanager
    def _open_locked(self) -> "abc.Iterator[int]":
        try:
            descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise exceptions.SettingsError(f"session file {self._path}: {error.strerror}") from error
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            yield descriptor
        finally:
            os.close(descriptor)

    def _read_record(self, descriptor: int) -> SessionRecord | None:
        content = os.pread(descriptor, os.fstat(descriptor).st_size, 0)
        if not content:
            return None
        try:
            record = SessionRecord.model_validate_json(content)
        except pydantic.ValidationError as error:
            raise exceptions.SettingsError(f"session file {self._path}: is not a session file") from error
        if record.workspace != self._workspace:
            raise exceptions.SettingsError(
                f"session file {self._path}: belongs to workspace {record.workspace!r}, not {self._workspace!r}"
            )
        return record

    @staticmethod
    def _write_record(descriptor: int, record: SessionRecord) -> None:
        content = record.model_dump_json().encode()
        os.pwrite(descriptor, content, 0)
        os.ftruncate(descriptor, len(content))
        os.fsync(descriptor)
