"""Health of workers, derived from the outcomes of their tasks."""

from cactusgauge.health.worker_health import HealthState, WorkerHealth

__all__ = ["HealthState", "WorkerHealth"]
