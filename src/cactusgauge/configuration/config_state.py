"""The state that every reader derives from the records of the configuration stream."""

from typing import TYPE_CHECKING

import pydantic

from cactusgauge import exceptions
from cactusgauge.configuration import acceptance_rule, change_record, configuration, state_document
from cactusgauge.configuration import catalogue as catalogue_module
from cactusgauge.configuration import verdict as verdict_module

if TYPE_CHECKING:
    from cactusgauge import ids
    from cactusgauge.configuration import workspace_config


class ConfigState:
    """The configuration state after applying all records through an offset in log order."""

    def __init__(self, rule: acceptance_rule.AcceptanceRule | None = None) -> None:
        self._rule = rule or acceptance_rule.BaseVersionRule()
        self._through = change_record.NO_VERSION
        self._version = change_record.NO_VERSION
        self._catalogue = catalogue_module.Catalogue()
        self._configs: dict[ids.WorkspaceName, workspace_config.WorkspaceConfig] = {}
        self._versions: dict[str, int] = {}  # by `templates.NAME` or `workspaces.NAME`, removed names included
        self._verdicts: dict[str, verdict_module.Verdict] = {}  # by change id, oldest first

    @property
    def through(self) -> int:
        """Offset of the last applied record, or -1 if there is none."""
        return self._through

    @property
    def version(self) -> int:
        """Offset of the last accepted change, or -1 if there is none."""
        return self._version

    @property
    def catalogue(self) -> catalogue_module.Catalogue:
        """The accepted templates and workspaces."""
        return self._catalogue

    @property
    def verdicts(self) -> list[verdict_module.Verdict]:
        """The verdicts on recent changes, oldest first."""
        return list(self._verdicts.values())

    @property
    def configuration(self) -> configuration.Configuration | None:
        """The resolved configuration, or None before the first accepted change."""
        if self._version == change_record.NO_VERSION:
            return None
        return configuration.Configuration(self._version, dict(self._configs))

    def version_of(self, name: str) -> int:
        """Return the version of `templates.NAME` or `workspaces.NAME`, or -1 if it has never existed."""
        return self._versions.get(name, change_record.NO_VERSION)

    def find_verdict(self, change_id: str) -> verdict_module.Verdict | None:
        """Return the verdict on a change, or None if it is not decided yet or no longer kept."""
        return self._verdicts.get(change_id)

    def find_problems(self, change: change_record.ChangeRecord) -> list[catalogue_module.Problem]:
        """Return the validation errors of the state that would result from a change."""
        return change.apply_to(self._catalogue).resolve()[1]

    def apply(self, offset: int, data: bytes) -> None:
        """Apply the record at an offset; ignore it if it has already been applied.

        Raise `LogGapError` if records before it have not been applied.
        """
        if offset <= self._through:
            return
        if offset != self._through + 1:
            raise exceptions.LogGapError(f"records are missing: record {offset} follows record {self._through}")
        self._through = offset
        for change_id in [each.id for each in self._verdicts.values() if self._rule.can_discard(each, offset)]:
            del self._verdicts[change_id]
        change = self._parse(data)
        if change is not None and change.id not in self._verdicts:
            self._decide(offset, change)

    def document(self) -> state_document.StateDocument:
        """Return the state as a document for a peer or a snapshot."""
        return state_document.StateDocument.model_construct(
            through=self._through,
            version=self._version,
            catalogue=self._catalogue,
            versions=dict(self._versions),
            verdicts=self.verdicts,
        )

    def adopt(self, document: state_document.StateDocument) -> bool:
        """Replace the state if the document covers a higher offset and its version is not lower.

        Return whether the state was replaced.
        """
        if document.through <= self._through or document.version < self._version:
            return False
        self._through = document.through
        self._version = document.version
        self._catalogue = document.catalogue
        self._configs, _ = document.catalogue.resolve()
        self._versions = dict(document.versions)
        self._verdicts = {each.id: each for each in document.verdicts}
        return True

    @staticmethod
    def _parse(data: bytes) -> change_record.ChangeRecord | None:
        try:
            return change_record.ChangeRecord.model_validate_json(data, strict=True)
        except pydantic.ValidationError:
            return None  # a snapshot, or a record that no reader can decode

    def _decide(self, offset: int, change: change_record.ChangeRecord) -> None:
        catalogue = change.apply_to(self._catalogue)
        configs, problems = catalogue.resolve()
        decision = self._rule.decide(change, offset, self._versions, problems)
        self._verdicts[change.id] = verdict_module.Verdict(
            offset=offset,
            through=change.through,
            id=change.id,
            author=change.author,
            names=change.names,
            outcome=decision.outcome,
            reason=decision.reason,
            lost_to=list(decision.lost_to),
        )
        if decision.outcome is verdict_module.Outcome.ACCEPTED:
            self._version = offset
            self._catalogue, self._configs = catalogue, configs
            self._versions |= dict.fromkeys(change.names, offset)
