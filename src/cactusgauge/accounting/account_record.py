"""Accounting records on the log."""

import hashlib
import json
from typing import NamedTuple

import pydantic

from cactusgauge import exceptions
from cactusgauge.accounting import pair_account

STREAM = "accounting"
ACCOUNTED_COUNTERS = frozenset(
    {
        "bytes_received",
        "bytes_sent",
        "jobs_accepted",
        "messages_received",
        "messages_sent",
        "messages_wasted",
        "slot_seconds",
        "starts_refused",
        "tasks_accepted",
        "tasks_completed",
        "tasks_failed",
        "tasks_not_run",
        "tasks_sent",
        "tasks_started",
        "tasks_unknown",
    }
)


class CounterRow(NamedTuple):
    """A cumulative counter; `workspace` is empty for a counter that is shared by all workspaces.

    `label` divides a counter further, such as by message type or by reason.
    """

    name: str
    workspace: str
    label: str
    value: float


class AccountRecord(pydantic.BaseModel):
    """Cumulative counts of one process incarnation, taken every `interval_s`; `at_s` is Unix time on its clock.

    `previous` is the hash of the previous record, or empty in the first one. `final` marks the last record before a
    planned stop, after which the process counts nothing more.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)

    process: str
    role: str
    incarnation: str
    sequence: int = pydantic.Field(ge=1)
    previous: str
    at_s: float
    interval_s: float = pydantic.Field(gt=0)
    final: bool
    rows: list[CounterRow]
    pairs: list[pair_account.PairTotals]

    @property
    def hash(self) -> str:
        """Hexadecimal SHA-256 hash of the content."""
        return hashlib.sha256(self._canonical()).hexdigest()

    def encode(self) -> bytes:
        """Encode the record and its hash as a JSON document for the log."""
        return json.dumps({"hash": self.hash, "record": self.model_dump(mode="json")}, sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "tuple[AccountRecord, str | None]":
        """Return a record and its hash, or None as the hash if the stored one does not match the content.

        Raise `AccountingError` if the record is malformed.
        """
        try:
            document = json.loads(data)
            record = cls.model_validate(document["record"])
            own_hash = record.hash
            return record, own_hash if own_hash == document["hash"] else None
        except (ValueError, KeyError, TypeError, RecursionError, OverflowError) as error:
            raise exceptions.AccountingError("not an accounting record") from error

    def _canonical(self) -> bytes:
        return json.dumps(self.model_dump(mode="json"), sort_keys=True, separators=(",", ":")).encode()
