import json
import unittest

from citronmount.telemetry import job_history

TIMESTAMP_PREFIX = "2026-12-04T10:00:0"
JOB = "5c0e7a21d94b36f8"
FINISH_FIELDS = {"age_ms": 0, "slack_factor": 1.5, "margin_ms": 250}


def line(time_s: float, event: str, **fields: object) -> str:
    stamp = f"{TIMESTAMP_PREFIX}{time_s:.3f}Z"
    return json.dumps({**fields, "event": event, "timestamp": stamp})


def gang_log_lines(
    placed_s: float, started_s: float, ended_s: float, finished_s: float
) -> list[str]:
    unit = f"{JOB}.0.0"
    return [
        line(0.5, "job_submitted", job=JOB, verdict="done"),
        line(placed_s, "unit_placed", unit=unit, priority=0, waited_ms=0),
        line(started_s, "run_started", unit=unit),
        line(ended_s, "run_ended", task=f"{unit}.1", kind="done"),
        line(finished_s, "job_finished", job=JOB, **FINISH_FIELDS),
    ]


class JobHistoryTest(unittest.TestCase):
    def history(self, lines: list[str]) -> job_history.JobHistory:
        return job_history.job_histories(lines)[JOB]

    def test_text_that_is_no_log_line_is_skipped(self) -> None:
        for text in ("", "{", "Traceback", '{"event": "x"}', "[]"):
            self.assertIsNone(job_history.parse_line(text))

    def test_prefix_of_a_log_line_is_ignored(self) -> None:
        text = "  1.5 vm-1 " + line(1, "job_submitted", job=JOB)
        self.assertEqual(JOB, job_history.parse_line(text).job)

    def test_time_is_attributed_to_phases(self) -> None:
        spent_ms = self.history(
            gang_log_lines(0.6, 0.9, 2.9, 4.0)
        ).phase_durations_ms()
        self.assertAlmostEqual(300, spent_ms[job_history.Phase.STARTING], 3)
        self.assertAlmostEqual(2_000, spent_ms[job_history.Phase.LAST_RUN], 3)
        self.assertAlmostEqual(1_100, spent_ms[job_history.Phase.COMPLETION], 3)

    def test_job_within_its_objective_is_not_late(self) -> None:
        histories = job_history.job_histories(
            gang_log_lines(0.6, 0.7, 2.7, 2.8)
        )
        self.assertEqual([], job_history.late_jobs(histories))

    def test_late_job_names_its_longest_delay(self) -> None:
        histories = job_history.job_histories(
            gang_log_lines(0.6, 0.7, 2.7, 4.8)
        )
        late = job_history.late_jobs(histories)
        self.assertIs(job_history.Phase.COMPLETION, late[0].longest_delay())

    def test_incomplete_runs_are_counted_by_cause(self) -> None:
        unit = f"{JOB}.0.0"
        lines = [
            *gang_log_lines(0.6, 0.7, 4.7, 4.8),
            line(1.5, "run_ending", unit=unit, cause="preempted"),
            line(3.0, "unit_placed", unit=unit, priority=0, waited_ms=100),
            line(3.1, "run_started", unit=unit),
        ]
        history = self.history(lines)
        self.assertIs(
            job_history.Phase.INCOMPLETE_RUNS, history.longest_delay()
        )
        self.assertEqual({"preempted": 1}, dict(history.count_failure_causes()))

    def test_run_logged_again_by_a_new_owner_keeps_its_first_start(
        self,
    ) -> None:
        # A new owner logs run_started again for runs in progress. Counting
        # from that line would turn time at work into lost time.
        lines = gang_log_lines(0.6, 0.7, 2.7, 2.8)
        repeated = line(2.2, "run_started", unit=f"{JOB}.0.0")
        history = self.history([*lines, repeated])
        spent_ms = history.phase_durations_ms()
        self.assertAlmostEqual(2_000, spent_ms[job_history.Phase.LAST_RUN], 3)
        self.assertEqual([], job_history.late_jobs({JOB: history}))

    def test_wait_for_an_owner_counts_as_lost_time(self) -> None:
        histories = job_history.job_histories(
            gang_log_lines(3.5, 3.6, 5.6, 5.7)
        )
        late = job_history.late_jobs(histories)
        self.assertIs(job_history.Phase.AWAITING_OWNER, late[0].longest_delay())

    def test_job_logged_without_slack_is_judged_by_its_objective(self) -> None:
        # Log lines of an older version have no slack_factor and margin_ms.
        old_finish_fields = {"age_ms": 3_000, "objective_ms": 2_500}
        lines = gang_log_lines(0.6, 0.7, 2.7, 2.8)[:-1]
        lines.append(line(2.8, "job_finished", job=JOB, **old_finish_fields))
        late = job_history.late_jobs(job_history.job_histories(lines))
        self.assertEqual([JOB], [history.job for history in late])

    def test_refused_submissions_count_as_lost_from_the_first(self) -> None:
        lines = [
            line(0.0, "job_submitted", job=JOB, verdict="not_done"),
            *gang_log_lines(0.6, 0.7, 2.7, 2.8),
        ]
        spent_ms = self.history(lines).phase_durations_ms()
        self.assertAlmostEqual(500, spent_ms[job_history.Phase.SUBMISSION], 3)
