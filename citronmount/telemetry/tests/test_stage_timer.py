"""Tests of the stages of jobs and short requests."""

import unittest

from citronmount.telemetry import metrics_registry
from citronmount.telemetry import stage_timer
from citronmount.telemetry import timeline_events

_KIND = timeline_events.EventKind


def _event(
    kind: timeline_events.EventKind, at_ms: int, **fields: object
) -> timeline_events.TimelineEvent:
    return timeline_events.TimelineEvent(
        physical_ms=at_ms, logical=0, process="v1", kind=kind, **fields
    )


class StageTimerTest(unittest.TestCase):
    """Tests the durations that are derived from events."""

    def setUp(self) -> None:
        self.metrics = metrics_registry.MetricsRegistry()
        self.timer = stage_timer.StageTimer(
            metrics=self.metrics, account_class=lambda account: "trial"
        )

    def _observe(
        self, *observed: timeline_events.TimelineEvent
    ) -> dict[str, float]:
        for event in observed:
            self.timer.observe(event)
        return {
            f"{summary.work_class}/{summary.stage}": summary.max_ms
            for summary in self.metrics.snapshot().histograms
        }

    def test_every_stage_of_an_evicted_job_is_recorded(self) -> None:
        durations_ms = self._observe(
            _event(_KIND.JOB_ACCEPTED, 0, job="j"),
            _event(_KIND.JOB_PLACED, 10, job="j"),
            _event(_KIND.JOB_STARTED, 15, job="j"),
            _event(_KIND.JOB_EVICTING, 20, job="j"),
            _event(_KIND.JOB_PLACED, 60, job="j"),
            _event(_KIND.JOB_STARTED, 62, job="j"),
            _event(_KIND.JOB_ENDED, 92, job="j"),
        )
        expected = {
            "job.trial/queued": 10,
            "job.trial/starting": 5,
            "job.trial/reclaim": 40,
            "job.trial/running": 30,
            "job.trial/total": 92,
        }
        self.assertEqual(
            expected, {k: round(v) for k, v in durations_ms.items()}
        )

    def test_request_is_measured_from_its_first_attempt(self) -> None:
        durations_ms = self._observe(
            _event(_KIND.REQUEST_SENT, 0, request="q~v-1"),
            _event(_KIND.REQUEST_SENT, 5, request="q~v-2"),
            _event(_KIND.REQUEST_ANSWERED, 9, request="q"),
        )
        self.assertEqual(9, round(durations_ms["request.trial/served"]))

    def test_stages_that_began_on_another_vm_are_not_recorded(self) -> None:
        durations_ms = self._observe(
            _event(_KIND.JOB_STARTED, 5, job="j"),
            _event(_KIND.JOB_ENDED, 9, job="j"),
        )
        self.assertEqual(["job.trial/running"], list(durations_ms))
