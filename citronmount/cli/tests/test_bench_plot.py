import pathlib
import tempfile
import unittest

from citronmount.bench import report
from citronmount.cli import bench_plot
from citronmount.core import errors


def _metrics(p99, **fields):
    percentiles = report.Percentiles(
        count=2, mean=1.0, p50=1.0, p90=p99, p99=p99, max=p99
    )
    return report.PolicyMetrics(
        completion_time_s={"gang": percentiles}, wait_s={}, **fields
    )


_REPORT = report.BenchReport(
    bench="hanbit",
    seed=1,
    metrics={
        "citron": _metrics(3.0, fragmentation=0.1),
        "fifo": _metrics(9.0),
    },
)


class BenchPlotTest(unittest.TestCase):
    def test_panels_omit_values_that_were_not_measured(self):
        self.assertEqual(
            bench_plot.panels(_REPORT),
            {
                "gang: completion p50 (s)": {"citron": 1.0, "fifo": 1.0},
                "gang: completion p99 (s)": {"citron": 3.0, "fifo": 9.0},
                "fragmentation": {"citron": 0.1},
            },
        )

    def test_write_creates_the_file_or_rejects_its_format(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / "plot.svg"
        bench_plot.write(_REPORT, path)
        self.assertIn("<svg", path.read_text(encoding="utf-8"))
        with self.assertRaises(errors.InvalidInputError):
            bench_plot.write(_REPORT, path.with_suffix(".nope"))


if __name__ == "__main__":
    unittest.main()
