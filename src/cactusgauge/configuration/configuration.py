"""The resolved configuration in force in a process."""

from typing import TYPE_CHECKING, NamedTuple

from cactusgauge import exceptions

if TYPE_CHECKING:
    from cactusgauge import ids
    from cactusgauge.configuration import workspace_config


class Configuration(NamedTuple):
    """Settings of all workspaces; `version` is the log offset of the last accepted change."""

    version: int
    workspaces: "dict[ids.WorkspaceName, workspace_config.WorkspaceConfig]"

    def workspace(self, name: "ids.WorkspaceName") -> "workspace_config.WorkspaceConfig":
        """Return the settings of a workspace; raise `UnknownWorkspaceError` if it does not exist."""
        found = self.workspaces.get(name)
        if found is None:
            raise exceptions.UnknownWorkspaceError(f"no workspace {name!r} in configuration version {self.version}")
        return found
