"""The serialised configuration state, as sent to peers and stored in snapshots."""

from typing import Literal, Self

import pydantic

from cactusgauge.configuration import catalogue as catalogue_module
from cactusgauge.configuration import change_record
from cactusgauge.configuration import verdict as verdict_module

CONFIGURATION_PATH = "/v1/configuration"  # HTTP path at which an entry serves its state


class StateDocument(pydantic.BaseModel):
    """The configuration state through a log offset, with all that is needed to accept or reject later changes.

    `through` is that offset, and `version` the offset of the last accepted change. `versions` also contains removed
    names, so that an old change cannot restore one. `verdicts` contains the changes that could otherwise be mistaken
    for new ones when they are repeated.
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
            raise ValueError("version: must be the highest version of any name")
        if self.version > self.through:
            raise ValueError("through: must not be lower than the version")
        _, problems = self.catalogue.resolve()
        if problems:
            raise ValueError(f"catalogue: {problems[0]}")
        return self


class SnapshotRecord(pydantic.BaseModel):
    """A snapshot of the state on the log; the record's own offset is higher than the offset that the state covers."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    format: Literal[1] = change_record.FORMAT
    kind: Literal["snapshot"] = "snapshot"
    state: StateDocument
