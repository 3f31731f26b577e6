"""Differences between two configurations, by account or failure domain."""

from collections.abc import Iterator
from collections.abc import Mapping
import enum
import itertools

import msgspec

from citronmount.config import configuration as configuration_lib

__all__ = ["Change", "ChangeKind", "Subject", "diff"]


class ChangeKind(enum.Enum):
    """How an entry differs between the configurations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Subject(enum.Enum):
    """Kind of entry that differs."""

    FAILURE_DOMAIN = "failure_domain"
    CLIENT_ACCOUNT = "client_account"
    GUARANTEE = "guarantee"
    ALLOWANCE = "allowance"


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One entry that differs between two configurations.

    Attributes:
        name: The client account or failure domain concerned.
        subject: Kind of the entry.
        kind: How the entry differs.
        before: Old value, empty if added.
        after: New value, empty if removed.
        shape: Shape of a guarantee as text, empty for other entries.
    """

    name: str
    subject: Subject
    kind: ChangeKind
    before: str = ""
    after: str = ""
    shape: str = ""

    def __str__(self) -> str:
        """Returns the change as one line of text."""
        entry = f"{self.subject.value} {self.shape}".strip()
        line = f"{self.name}: {entry} {self.kind.value}"
        if self.kind is ChangeKind.CHANGED:
            return f"{line}: {self.before} -> {self.after}"
        return f"{line}: {self.before or self.after}"


# Text of the value by name and, for guarantees, shape of the entry.
Entries = Mapping[tuple[str, str], str]


def diff(
    old: configuration_lib.Configuration, new: configuration_lib.Configuration
) -> tuple[Change, ...]:
    """Compares two configurations.

    Args:
        old: The configuration before the change.
        new: The configuration after the change.

    Returns:
        The changes, sorted by name. Versions are not compared.
    """
    old_entries = _entries_by_subject(old)
    new_entries = _entries_by_subject(new)
    changes = itertools.chain.from_iterable(
        _diff_entries(subject, old_entries[subject], new_entries[subject])
        for subject in Subject
    )
    return tuple(
        sorted(
            changes,
            key=lambda change: (
                change.name,
                change.subject.value,
                change.shape,
            ),
        )
    )


def _diff_entries(
    subject: Subject, old: Entries, new: Entries
) -> Iterator[Change]:
    for key in old.keys() | new.keys():
        before = old.get(key, "")
        after = new.get(key, "")
        if before == after:
            continue
        name, shape = key
        yield Change(
            name=name,
            subject=subject,
            kind=_change_kind(before, after),
            before=before,
            after=after,
            shape=shape,
        )


def _change_kind(before: str, after: str) -> ChangeKind:
    if not before:
        return ChangeKind.ADDED
    return ChangeKind.CHANGED if after else ChangeKind.REMOVED


def _entries_by_subject(
    configuration: configuration_lib.Configuration,
) -> dict[Subject, Entries]:
    return {
        Subject.FAILURE_DOMAIN: {
            (domain.name, ""): domain.state.value
            for domain in configuration.failure_domains
        },
        Subject.CLIENT_ACCOUNT: {
            (account.name, ""): account.account_class.value
            for account in configuration.accounts
        },
        Subject.GUARANTEE: {
            (guarantee.account, _format_shape(guarantee)): (
                f"{guarantee.copies} copies"
            )
            for guarantee in configuration.guarantees
        },
        Subject.ALLOWANCE: {
            (allowance.account, ""): f"{allowance.accelerators} accelerators"
            for allowance in configuration.allowances
        },
    }


def _format_shape(guarantee: configuration_lib.Guarantee) -> str:
    per_task = guarantee.per_task
    other_resources = [
        f"{amount} {unit}"
        for amount, unit in (
            (per_task.cores, "cores"),
            (per_task.memory_gb, "GB"),
        )
        if amount
    ]
    gang_size = f"{guarantee.tasks} x {per_task.accelerators} accelerators"
    location = guarantee.failure_domain or "any failure domain"
    resources = ", ".join((gang_size, *other_resources))
    return f"({resources} in one {guarantee.adjacency.value}, {location})"
