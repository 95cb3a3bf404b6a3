"""Plans drawn from mixes."""

import pathlib

import pytest

from cactusgauge import exceptions, load

MIXES = pathlib.Path(__file__).parents[3] / "examples" / "mixes"


@pytest.mark.parametrize("path", sorted(MIXES.glob("*.yaml")), ids=lambda path: path.stem)
def test_examples_offer_the_stated_load_reproducibly(path: pathlib.Path) -> None:
    """Guards against a comparison of measurements that were made with different work."""
    mix = load.MixLoader(path).load()

    plan = load.draw_plan(mix)

    assert plan == load.draw_plan(mix)
    assert [job.at_s for job in plan] == sorted(job.at_s for job in plan)
    assert 0 <= plan[0].at_s <= plan[-1].at_s <= mix.duration_s
    burst_extra_s = sum((burst.end_s - burst.start_s) * (burst.factor - 1) for burst in mix.bursts)
    offered_s = mix.load * mix.fleet.capacity * (mix.duration_s + burst_extra_s)
    planned_s = sum(task.run_ms for job in plan for task in job.tasks) / 1000
    largest_job_s = max(sum(task.run_ms for task in job.tasks) for job in plan) / 1000
    assert offered_s <= planned_s < offered_s + largest_job_s


def test_ideal_is_the_larger_of_longest_task_and_total_work() -> None:
    """Guards against ratios that look too good for jobs with one long task or with many short tasks."""
    fleet = load.Mix.model_validate(
        {
            "name": "m",
            "workspace": "cheese",
            "fleet": {"speeds": [1, 2], "slots": 2},
            "jobs": [{"weight": 1, "min": 1, "max": 1}],
            "kinds": [{"name": "k", "weight": 1, "median_ms": 100}],
        }
    ).fleet

    def ideal_s(*run_ms: float) -> float:
        return load.PlannedJob(0, [load.PlannedTask("k", each, None) for each in run_ms], None).ideal_s(fleet)

    assert ideal_s(600, 100) == pytest.approx(0.3)
    assert ideal_s(*[600] * 12) == pytest.approx(1.2)


def test_all_findings_of_a_mix_are_reported(tmp_path: pathlib.Path) -> None:
    """Guards against ignoring a misspelt key."""
    path = tmp_path / "mix.yaml"
    path.write_text("name: x\nworkspace: cheese\nlod: 0.8\nfleet: {speeds: [0]}\njobs: []\nkinds: []\n")

    with pytest.raises(exceptions.SettingsError) as raised:
        load.MixLoader(path).load()

    assert all(part in str(raised.value) for part in ("lod", "fleet.speeds.0", "jobs", "kinds"))
