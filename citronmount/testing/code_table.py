"""Generates the documentation page of result codes from their enumeration.

``python -m citronmount.testing.code_table`` overwrites the page. Run it at the
root of the repository.
"""

from collections.abc import Iterator
import itertools
import pathlib

from citronmount.core import codes

__all__ = ["PAGE_PATH", "render_page"]

PAGE_PATH = pathlib.Path("docs/CODES.md")

_CODES_PER_FAMILY = 1_000
_FAMILY_TITLES = {
    1: "Good results",
    2: "Final refusals",
    3: "Refusals worth a later retry",
    4: "Ends of work that was accepted",
    5: "Faults of a sheet",
    6: "Faults of settings",
    7: "Results of a configuration change",
    9: "Faults of the system",
}
_INTRODUCTION = """\
# Result codes

Every answer of the system carries one of these codes. The page is made from
`citronmount/core/codes.py` by `python -m citronmount.testing.code_table`;
`citronmount codes --json` prints the same. *Not run* is yes only if the code
proves that the work was not run and will not be; *retry* is yes if the same
request may succeed later. A code speaks for the call that it answers: what an
earlier call with the same idempotency key did, its own answer tells.
"""


def render_page() -> str:
    """Returns the page of result codes as Markdown text."""
    return "\n".join(itertools.chain([_INTRODUCTION], _table_lines()))


def _table_lines() -> Iterator[str]:
    code_infos = sorted(codes.CODES.values(), key=lambda info: info.code)
    for family, members in itertools.groupby(
        code_infos, key=lambda info: info.code // _CODES_PER_FAMILY
    ):
        yield f"## {family}xxx: {_FAMILY_TITLES[family]}\n"
        yield "| code | name | not run | retry | meaning | what to do |"
        yield "|---|---|---|---|---|---|"
        yield from map(_table_row, members)
        yield ""


def _table_row(info: codes.CodeInfo) -> str:
    cells = (
        str(int(info.code)),
        f"`{info.code.name}`",
        "yes" if info.proves_not_run else "no",
        "yes" if info.retry else "no",
        info.meaning,
        info.action,
    )
    return f"| {' | '.join(cells)} |"


if __name__ == "__main__":
    PAGE_PATH.write_text(render_page(), encoding="utf-8")
