"""Tests the state with snapshots and trimming against a reference that keeps the whole log and all change ids."""

import asyncio
from typing import Any, NamedTuple

import hypothesis
import pytest
from hypothesis import strategies

from cactusgauge import configuration, exceptions, ids
from emulator import memory_log
from tests.unit.configuration import builders, naive

MAX_LAG = 5  # small, so that short examples include changes whose ids have been discarded
WORKSPACES = (ids.WorkspaceName("cheese"), ids.WorkspaceName("crier"))
TEMPLATES = ("small", "large")
EXAMPLES = hypothesis.settings(max_examples=400, derandomize=True, deadline=None, database=None)

workspace_steps = strategies.tuples(
    strategies.just("workspace"),
    strategies.sampled_from(WORKSPACES),
    strategies.sampled_from(TEMPLATES),
    strategies.sampled_from((None, 1, 2)),
    strategies.integers(0, 2),  # number of changes of the name that the author has not seen
    strategies.integers(0, MAX_LAG + 1),  # number of records at the end of the log that the author has not read
)
template_steps = strategies.tuples(strategies.just("template"), strategies.sampled_from(TEMPLATES))
other_steps = strategies.one_of(
    strategies.tuples(strategies.just("repeat"), strategies.integers(0, 30)),
    strategies.tuples(strategies.just("snapshot"), strategies.integers(0, 3)),
    strategies.tuples(strategies.just("trim"), strategies.integers(1, 4)),
    strategies.tuples(strategies.just("junk"), strategies.binary(max_size=4)),
    strategies.tuples(strategies.just("restart")),
    strategies.tuples(strategies.just("adopt")),
)
step_lists = strategies.lists(strategies.one_of(workspace_steps, template_steps, other_steps), max_size=30)


class Reference:
    """Reference implementation that keeps all records, versions and change ids."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.versions: list[dict[str, int]] = [{}]  # after each record
        self.contents: list[dict[str, Any]] = [{}]
        self.accepted: dict[int, str] = {}
        self.ids: set[str] = set()

    def append(self, data: bytes) -> None:
        """Append a record and apply it."""
        offset = len(self.records)
        self.records.append(data)
        versions, contents = dict(self.versions[-1]), dict(self.contents[-1])
        try:
            change = configuration.ChangeRecord.model_validate_json(data)
        except ValueError:
            change = None
        if change is not None and change.id not in self.ids:
            self.ids.add(change.id)
            changed = contents | {f"templates.{name}": value for name, value in change.templates.items()}
            changed |= {f"workspaces.{name}": value for name, value in change.workspaces.items()}
            is_current = all(versions.get(name, -1) == base for name, base in change.base.items())
            is_recent = offset - MAX_LAG <= change.through < offset
            if is_recent and is_current and self._is_valid(changed):
                contents = changed
                versions |= dict.fromkeys(change.names, offset)
                self.accepted[offset] = change.id
        self.versions.append(versions)
        self.contents.append(contents)

    @staticmethod
    def _is_valid(contents: dict[str, Any]) -> bool:
        entries = [value for name, value in contents.items() if name.startswith("workspaces.") and value]
        return all(contents.get(f"templates.{entry.template}") for entry in entries)


class Rules(NamedTuple):
    """The rules under test."""

    acceptance: configuration.AcceptanceRule
    snapshots: configuration.SnapshotRule


CORRECT_RULES = Rules(configuration.BaseVersionRule(MAX_LAG), configuration.ThroughOffsetRule())


class Scenario:
    """A log, its reference implementation, snapshots to append late, and one reader that may restart."""

    def __init__(self, rules: Rules) -> None:
        self._rules = rules
        self._log = memory_log.MemoryLog()
        self._reference = Reference()
        self._first = 0
        self._snapshots: list[bytes] = []  # the snapshot that a writer would take after each record
        self._writer = configuration.ConfigState(configuration.BaseVersionRule(MAX_LAG))
        self._reader = self._new_reader()

    async def run(self, steps: list[tuple[Any, ...]]) -> None:
        """Execute the steps; raise `AssertionError` when the reader differs from the reference."""
        for number, step in enumerate(steps):
            if step[0] == "trim":
                self._first = min(self._first + step[1], len(self._reference.records))
                self._log.trim(configuration.STREAM, self._first)
            elif step[0] == "restart":
                self._reader = self._new_reader()
                await self._read()
            elif step[0] == "adopt":
                self._reader.state.adopt(self._writer.document())
                self._compare(self._reader.state)
            else:
                self._append(self._record(number, step))
                await self._read()

    def _new_reader(self) -> configuration.ConfigLog:
        return configuration.ConfigLog(
            self._log, configuration.ConfigState(self._rules.acceptance), self._rules.snapshots
        )

    def _append(self, data: bytes) -> None:
        self._reference.append(data)
        offset = self._log.append_without_faults(configuration.STREAM, data)
        self._writer.apply(offset, data)
        snapshot = configuration.SnapshotRecord(state=self._writer.document())
        self._snapshots.append(snapshot.model_dump_json().encode())

    def _record(self, number: int, step: tuple[Any, ...]) -> bytes:
        records, versions = self._reference.records, self._reference.versions
        match step:
            case ("workspace", name, template, slots, unseen, lag):
                key = f"workspaces.{name}"
                known = sorted({version.get(key, -1) for version in versions}, reverse=True)
                base = known[min(unseen, len(known) - 1)]
                through = max(-1, len(records) - 1 - lag)
                change = builders.workspace_change(slots, base, through, f"c{number}", name, template=template)
                return builders.encode(change)
            case ("template", name):
                base = {f"templates.{name}": versions[-1].get(f"templates.{name}", -1)}
                through = len(records) - 1
                change = builders.template_change(f"c{number}")
                return builders.encode(
                    change.model_copy(update={"through": through, "base": base, "templates": {name: builders.TEMPLATE}})
                )
            case ("repeat", index) if records:
                return bytes(records[index % len(records)])
            case ("snapshot", delay) if delay < len(self._snapshots):
                return bytes(self._snapshots[len(self._snapshots) - 1 - delay])
            case ("junk", data):
                return bytes(data)
        return b""

    async def _read(self) -> None:
        try:
            await self._reader.catch_up()
        except exceptions.LogGapError:
            assert self._reader.state.through < self._first - 1
            for data in self._reference.records[self._first :]:
                if b'"snapshot"' in data:
                    through = configuration.SnapshotRecord.model_validate_json(data).state.through
                    assert through < self._first - 1, "a usable snapshot was not used"
        self._compare(self._reader.state)

    def _compare(self, state: configuration.ConfigState) -> None:
        count = state.through + 1
        reference = self._reference
        contents: dict[str, Any] = {f"templates.{name}": value for name, value in state.catalogue.templates.items()}
        contents |= {f"workspaces.{name}": value for name, value in state.catalogue.workspaces.items()}
        assert contents == {name: value for name, value in reference.contents[count].items() if value}
        assert state.version == max(reference.versions[count].values(), default=-1)
        for verdict in state.verdicts:
            assert verdict.is_accepted == (reference.accepted.get(verdict.offset) == verdict.id)
        assert (state.configuration is None) == (not reference.versions[count])


def matches_reference(rules: Rules, steps: list[tuple[Any, ...]]) -> bool:
    """Return whether a reader with these rules matches the reference after every step."""
    try:
        asyncio.run(Scenario(rules).run(steps))
    except AssertionError:
        return False
    return True


@EXAMPLES
@hypothesis.given(step_lists)
def test_readers_agree_with_the_reference(steps: list[tuple[Any, ...]]) -> None:
    """Guards against readers that diverge after repeated records, late snapshots, trimming or restarts."""
    asyncio.run(Scenario(CORRECT_RULES).run(steps))


@pytest.mark.parametrize(
    "rules",
    [
        CORRECT_RULES._replace(acceptance=naive.LastWriteWins(MAX_LAG)),
        CORRECT_RULES._replace(acceptance=naive.ForgetfulRule(MAX_LAG)),
        CORRECT_RULES._replace(snapshots=naive.SnapshotAtOwnOffset()),
    ],
    ids=["last write wins", "ids forgotten", "snapshot without through offset"],
)
def test_naive_rules_are_told_apart(rules: Rules) -> None:
    """Guards against a comparison that cannot fail: it must find steps that expose each naive rule."""
    phases = [hypothesis.Phase.generate]  # the first counterexample is enough, so it is not shrunk
    settings = hypothesis.settings(EXAMPLES, max_examples=5000, phases=phases)
    steps = hypothesis.find(step_lists, lambda steps: not matches_reference(rules, steps), settings=settings)
    assert matches_reference(CORRECT_RULES, steps)


def accepts_a_repetition(rule: configuration.AcceptanceRule, through: int, distance: int) -> bool:
    """Return whether a change rejected at offset 0 is accepted `distance` offsets later, when it has become valid."""
    state = configuration.ConfigState(rule)
    refused = builders.encode(builders.workspace_change(4, -1, through, "w"))
    template = builders.template_change().model_copy(update={"through": distance - 2})
    records = [refused, *[b""] * (distance - 2), builders.encode(template), refused]
    for offset, data in enumerate(records):
        state.apply(offset, data)
    assert state.version_of("templates.small") == distance - 1
    return state.version_of("workspaces.cheese") != -1


def test_refused_change_is_never_accepted_when_repeated() -> None:
    """Guards against an id that is discarded before a repetition of its change would be rejected as expired."""
    cases = [(through, distance) for through in (-1, 0, 3, 50) for distance in range(2, 80)]
    assert not any(accepts_a_repetition(configuration.BaseVersionRule(MAX_LAG), *case) for case in cases)
    assert any(accepts_a_repetition(naive.ForgetfulRule(MAX_LAG), *case) for case in cases)


@EXAMPLES
@hypothesis.given(strategies.lists(strategies.binary(max_size=60) | strategies.text(max_size=60).map(str.encode)))
def test_undecodable_records_change_nothing(records: list[bytes]) -> None:
    """Guards against an undecodable record that stops all entries."""
    state = configuration.ConfigState()
    for offset, data in enumerate(records):
        state.apply(offset, data)
    assert state.configuration is None
    assert state.through == len(records) - 1


@pytest.mark.parametrize(
    ("settings", "path"),
    [
        ({"slots": "8"}, "templates.small.settings.slots"),
        ({"slots": "$absent"}, "templates.small.settings.slots"),
        ({"unknown": 1}, "templates.small.settings.unknown"),
        ({"max_deadline_ms": 10}, "workspaces.cheese"),
    ],
)
def test_invalid_result_is_refused_with_its_path(settings: dict[str, Any], path: str) -> None:
    """Guards against accepting a template that cannot be applied, and against a rejection without the path."""
    state = configuration.ConfigState()
    change = builders.template_change().model_copy(
        update={
            "templates": {"small": configuration.Template(settings=settings)},
            "workspaces": {builders.CHEESE: configuration.WorkspaceEntry(template="small")},
            "base": {"templates.small": -1, "workspaces.cheese": -1},
        }
    )
    state.apply(0, builders.encode(change))
    verdict = state.verdicts[0]
    assert verdict.outcome is configuration.Outcome.INVALID
    assert verdict.reason.startswith(f"{path}: ")
    assert state.configuration is None
