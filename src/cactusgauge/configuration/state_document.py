"""The configuration state through a log offset, as peers pass it on and snapshots hold it."""

from typing import Literal, Self

import pydantic

from cactusgauge.configuration import catalogue as catalogue_module
from cactusgauge.configuration import change_record
from cactusgauge.configuration import verdict as verdict_module


class StateDocument(pydantic.BaseModel):
    """Everything that decides about later changes.

    `versions` also holds names that were removed, so that an old change cannot bring one back. `verdicts` holds the
    changes whose repetition could otherwise be taken for a new change.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    format: Literal[1] = change_record.FORMAT
    through: change_record.Offset
    version: change_record.Offset
    catalogue: catalogue_module.Catalogue
    versions: dict[str, change_record.Offset]
    verdicts: list[verdict_module.Verdict]

    @pydantic.model_validator(mode="after")
    def _check_state(self) -> Self:
        if self.version != max(self.versions.values(), default=change_record.NO_VERSION):
            raise ValueError("version: the highest version of a name is expected")
        if self.version > self.through:
            raise ValueError("through: an offset not below the version is expected")
        _, problems = self.catalogue.resolve()
        if problems:
            raise ValueError(f"catalogue: {problems[0]}")
        return self


class SnapshotRecord(pydantic.BaseModel):
    """A state on the log; its own offset is higher than the offset through which the state holds."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    format: Literal[1] = change_record.FORMAT
    kind: Literal["snapshot"] = "snapshot"
    state: StateDocument
