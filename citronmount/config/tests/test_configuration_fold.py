import unittest

from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.config import configuration_fold
from citronmount.core import ids
from citronmount.core import states
from citronmount.state import records


def make_change(record_id, base_version, *account_names):
    return records.ConfigurationChange(
        record=ids.RecordId(record_id),
        base_version=ids.Version(base_version),
        author="operator",
        content=configuration.Configuration(
            accounts=tuple(
                configuration.Account(
                    name=name, account_class=states.AccountClass.TRIAL
                )
                for name in account_names
            )
        ),
    )


def make_page(entries, *, start=0, oldest=0):
    return messages.LogPage(
        records=tuple(
            messages.LogRecord(
                offset=ids.Offset(offset),
                record=entry.record,
                data=records.encode(entry),
            )
            for offset, entry in enumerate(entries, start)
        ),
        oldest=ids.Offset(oldest),
        end=ids.Offset(start + len(entries)),
    )


def account_names(fold):
    return [account.name for account in fold.current.accounts]


class ConfigurationFoldTest(unittest.TestCase):
    def test_exactly_one_of_two_concurrent_changes_is_accepted(self):
        fold = configuration_fold.ConfigurationFold()
        fold.fold_page(
            make_page([make_change("a", 0, "x"), make_change("b", 0, "y")])
        )
        self.assertEqual(
            (fold.current.version, account_names(fold)), (1, ["x"])
        )
        self.assertIs(
            fold.outcome("a"), configuration_fold.ChangeOutcome.ACCEPTED
        )
        self.assertIs(
            fold.outcome("b"), configuration_fold.ChangeOutcome.STALE_BASE
        )

    def test_duplicate_records_of_a_change_are_applied_once(self):
        fold = configuration_fold.ConfigurationFold()
        first = make_change("a", 0, "x")
        fold.fold_page(
            make_page([first, first, make_change("b", 1, "y"), first])
        )
        self.assertEqual(
            (fold.current.version, account_names(fold)), (2, ["y"])
        )

    def test_a_rejected_change_is_not_accepted_when_read_again(self):
        fold = configuration_fold.ConfigurationFold()
        rejected = make_change("early", 1, "z")
        fold.fold_page(
            make_page([rejected, make_change("a", 0, "x"), rejected])
        )
        self.assertEqual(
            (fold.current.version, account_names(fold)), (1, ["x"])
        )

    def test_page_boundaries_and_overlaps_do_not_affect_the_result(self):
        entries = [make_change(str(n), n // 2, str(n)) for n in range(8)]
        whole = configuration_fold.ConfigurationFold()
        whole.fold_page(make_page(entries))
        for boundary in range(1, 8):
            paged = configuration_fold.ConfigurationFold()
            paged.fold_page(make_page(entries[:boundary]))
            paged.fold_page(
                make_page(
                    entries[max(boundary - 2, 0) :], start=max(boundary - 2, 0)
                )
            )
            self.assertEqual(paged.current, whole.current)

    def test_a_gap_without_a_snapshot_leaves_the_fold_untrusted(self):
        fold = configuration_fold.ConfigurationFold()
        fold.fold_page(make_page([make_change("b", 4, "y")], start=7, oldest=7))
        self.assertFalse(fold.trusted)
        self.assertEqual(fold.current.version, 0)

    def test_a_snapshot_covers_records_lost_to_retention(self):
        full = configuration_fold.ConfigurationFold()
        full.fold_page(
            make_page([make_change("a", 0, "x"), make_change("b", 1, "y")])
        )
        snapshot = full.snapshot(ids.RecordId("s"))
        tail = [make_change("c", 2, "z"), snapshot, make_change("d", 3, "w")]
        fold = configuration_fold.ConfigurationFold()
        fold.fold_page(make_page(tail, start=2, oldest=2))
        self.assertTrue(fold.trusted)
        self.assertEqual(
            (fold.current.version, account_names(fold)), (4, ["w"])
        )

    def test_a_duplicate_of_a_change_in_the_snapshot_is_ignored(self):
        full = configuration_fold.ConfigurationFold()
        first = make_change("a", 0, "x")
        full.fold_page(make_page([first]))
        tail = [full.snapshot(ids.RecordId("s")), first]
        fold = configuration_fold.ConfigurationFold()
        fold.fold_page(make_page(tail, start=1, oldest=1))
        self.assertEqual(fold.current.version, 1)
        self.assertIs(
            fold.outcome("a"), configuration_fold.ChangeOutcome.ACCEPTED
        )

    def test_a_peer_snapshot_never_reverts_to_an_older_version(self):
        old = configuration_fold.ConfigurationFold()
        old.fold_page(make_page([make_change("a", 0, "x")]))
        new = configuration_fold.ConfigurationFold()
        new.fold_page(
            make_page([make_change("a", 0, "x"), make_change("b", 1, "y")])
        )
        self.assertFalse(new.adopt(old.snapshot(ids.RecordId("s"))))
        self.assertEqual(account_names(new), ["y"])
        self.assertTrue(old.adopt(new.snapshot(ids.RecordId("t"))))
        self.assertEqual(account_names(old), ["y"])


if __name__ == "__main__":
    unittest.main()
