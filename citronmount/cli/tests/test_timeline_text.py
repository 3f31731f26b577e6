import unittest

import hypothesis
from hypothesis import strategies

from citronmount.cli import timeline_text
from citronmount.telemetry import timeline_events

_KIND = timeline_events.EventKind
_JOB = "kr-a/7"


def _event(physical_ms, kind, **fields):
    return timeline_events.TimelineEvent(
        physical_ms=physical_ms,
        logical=fields.pop("logical", 0),
        process=fields.pop("process", "kr-a-1"),
        kind=kind,
        job=_JOB,
        **fields,
    )


_JOB_EVENTS = (
    _event(1_000, _KIND.JOB_ACCEPTED, account="hana"),
    _event(3_000, _KIND.JOB_PLACED, attempt=f"{_JOB}#1.5", count=4),
    _event(3_500, _KIND.JOB_STARTED, process="kr-a-2"),
    _event(9_500, _KIND.JOB_ENDED, process="kr-a-2", code=1002),
)


class TimelineTextTest(unittest.TestCase):
    def test_the_timeline_of_a_job_ends_with_its_phases(self):
        placed_line = "   +2.00 s  kr-a-1  job_placed" + " " * 14
        placed_line += "attempt 1.5  count 4"
        self.assertEqual(
            list(timeline_text.format_job_timeline(_JOB, _JOB_EVENTS)),
            [
                "job kr-a/7  account hana",
                "first event 1970-01-01 00:00:01.000Z",
                "     +0 ms  kr-a-1  job_accepted",
                placed_line,
                "   +2.50 s  kr-a-2  job_started",
                "   +8.50 s  kr-a-2  job_ended               result DONE",
                ". queued 2.00 s  + starting 500 ms  # running 6.00 s",
                f"|{'.' * 14}|{'+' * 4}|{'#' * 42}|",
            ],
        )

    def test_events_are_merged_by_logical_time_without_duplicates(self):
        late = _event(3_000, _KIND.JOB_PLACED, logical=1, process="kr-a-0")
        merged = timeline_text.merge_events(
            [_JOB_EVENTS, (late, *_JOB_EVENTS[:2])]
        )
        self.assertEqual(merged, [*_JOB_EVENTS[:2], late, *_JOB_EVENTS[2:]])

    def test_a_job_without_events_has_a_title_and_a_hint(self):
        self.assertEqual(
            len(list(timeline_text.format_job_timeline(_JOB, []))), 2
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.builds(
                _event,
                strategies.integers(-(2**62), 2**62),
                strategies.sampled_from(_KIND),
                code=strategies.integers(0, 9_999),
            ),
            max_size=6,
        )
    )
    def test_arbitrary_events_can_be_formatted(self, events):
        merged = timeline_text.merge_events([events])
        lines = [
            *timeline_text.format_events(merged),
            *timeline_text.format_job_timeline(_JOB, merged),
        ]
        self.assertGreaterEqual(len(lines), 2 * len(merged))


if __name__ == "__main__":
    unittest.main()
