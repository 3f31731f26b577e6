import unittest

from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.config import configuration_fold
from citronmount.core import ids
from citronmount.core import states
from citronmount.state import records


def change(record, base, *names):
    return records.ConfigurationChange(
        record=ids.RecordId(record),
        base_version=ids.Version(base),
        author="operator",
        content=configuration.Configuration(
            accounts=tuple(
                configuration.Account(
                    name=name, account_class=states.AccountClass.TRIAL
                )
                for name in names
            )
        ),
    )


def page(entries, *, start=0, oldest=0):
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


def names(fold):
    return [account.name for account in fold.current.accounts]


class ConfigurationFoldTest(unittest.TestCase):
    def test_one_of_two_racing_changes_wins(self):
        fold = configuration_fold.ConfigurationFold()
        fold.fold_page(page([change("a", 0, "x"), change("b", 0, "y")]))
        self.assertEqual((fold.current.version, names(fold)), (1, ["x"]))
        self.assertIs(
            fold.outcome("a"), configuration_fold.ChangeOutcome.ACCEPTED
        )
        self.assertIs(
            fold.outcome("b"), configuration_fold.ChangeOutcome.STALE_BASE
        )

    def test_copies_of_a_change_count_once(self):
        fold = configuration_fold.ConfigurationFold()
        first = change("a", 0, "x")
        fold.fold_page(page([first, first, change("b", 1, "y"), first]))
        self.assertEqual((fold.current.version, names(fold)), (2, ["y"]))

    def test_a_refused_change_is_never_accepted_later(self):
        fold = configuration_fold.ConfigurationFold()
        early = change("early", 1, "z")
        fold.fold_page(page([early, change("a", 0, "x"), early]))
        self.assertEqual((fold.current.version, names(fold)), (1, ["x"]))

    def test_pages_in_any_cut_give_the_same_version(self):
        entries = [change(str(n), n // 2, str(n)) for n in range(8)]
        whole = configuration_fold.ConfigurationFold()
        whole.fold_page(page(entries))
        for cut in range(1, 8):
            parts = configuration_fold.ConfigurationFold()
            parts.fold_page(page(entries[:cut]))
            parts.fold_page(
                page(entries[max(cut - 2, 0) :], start=max(cut - 2, 0))
            )
            self.assertEqual(parts.current, whole.current)

    def test_a_gap_without_snapshot_is_not_trusted(self):
        fold = configuration_fold.ConfigurationFold()
        fold.fold_page(page([change("b", 4, "y")], start=7, oldest=7))
        self.assertFalse(fold.trusted)
        self.assertEqual(fold.current.version, 0)

    def test_a_snapshot_closes_a_gap_with_what_was_before_it(self):
        full = configuration_fold.ConfigurationFold()
        full.fold_page(page([change("a", 0, "x"), change("b", 1, "y")]))
        late = full.snapshot(ids.RecordId("s"))
        tail = [change("c", 2, "z"), late, change("d", 3, "w")]
        fold = configuration_fold.ConfigurationFold()
        fold.fold_page(page(tail, start=2, oldest=2))
        self.assertTrue(fold.trusted)
        self.assertEqual((fold.current.version, names(fold)), (4, ["w"]))

    def test_a_copy_from_before_the_snapshot_is_ignored(self):
        full = configuration_fold.ConfigurationFold()
        first = change("a", 0, "x")
        full.fold_page(page([first]))
        tail = [full.snapshot(ids.RecordId("s")), first]
        fold = configuration_fold.ConfigurationFold()
        fold.fold_page(page(tail, start=1, oldest=1))
        self.assertEqual(fold.current.version, 1)
        self.assertIs(
            fold.outcome("a"), configuration_fold.ChangeOutcome.ACCEPTED
        )

    def test_an_older_snapshot_of_a_peer_never_reverts(self):
        old = configuration_fold.ConfigurationFold()
        old.fold_page(page([change("a", 0, "x")]))
        new = configuration_fold.ConfigurationFold()
        new.fold_page(page([change("a", 0, "x"), change("b", 1, "y")]))
        self.assertFalse(new.adopt(old.snapshot(ids.RecordId("s"))))
        self.assertEqual(names(new), ["y"])
        self.assertTrue(old.adopt(new.snapshot(ids.RecordId("t"))))
        self.assertEqual(names(old), ["y"])


if __name__ == "__main__":
    unittest.main()
