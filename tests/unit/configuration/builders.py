"""Builders of changes and templates for tests."""

from cactusgauge import configuration, ids

TEMPLATE = configuration.Template(parameters={"slots": configuration.Parameter()}, settings={"slots": "$slots"})
CHEESE = ids.WorkspaceName("cheese")


def template_change(change_id: str = "template") -> configuration.ChangeRecord:
    """Return the first change: the template that the workspaces of `workspace_change` use."""
    return configuration.ChangeRecord(
        id=change_id, author="ana", through=-1, base={"templates.small": -1}, templates={"small": TEMPLATE}
    )


def workspace_change(
    slots: int | None,
    base: int,
    through: int,
    change_id: str,
    name: ids.WorkspaceName = CHEESE,
    author: str = "ana",
    template: str = "small",
) -> configuration.ChangeRecord:
    """Return a change of one workspace; `slots` None removes it."""
    entry = None
    if slots is not None:
        entry = configuration.WorkspaceEntry(template=template, parameters={"slots": slots})
    return configuration.ChangeRecord(
        id=change_id,
        author=author,
        through=through,
        base={f"workspaces.{name}": base},
        workspaces={name: entry},
    )


def encode(change: configuration.ChangeRecord) -> bytes:
    """Return the encoded log record of a change."""
    return change.model_dump_json().encode()


def slots(current: configuration.Configuration | None) -> int | None:
    """Return the number of slots in force for the workspace `cheese`."""
    return current.workspace(CHEESE).slots if current is not None else None
