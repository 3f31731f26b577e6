"""Checks whether a pool can satisfy all guarantees of a sheet at once."""

import msgspec

from citronmount.config import pool_file
from citronmount.config import sheet
from citronmount.config import sheet_faults
from citronmount.core import codes
from citronmount.core import guarantee_feasibility

__all__ = ["check"]


def check(parsed_sheet: sheet.Sheet, pool: pool_file.Pool) -> sheet.Sheet:
    """Checks a sheet against a pool.

    Args:
        parsed_sheet: The sheet, with or without faults.
        pool: The pool; only its workers matter.

    Returns:
        The same sheet if all guarantees are feasible together or the sheet
        already has faults. Otherwise a copy without configuration that lists
        one fault for each infeasible guarantee.
    """
    if parsed_sheet.configuration is None:
        return parsed_sheet
    faults = tuple(
        sheet_faults.SheetFault(
            file=parsed_sheet.file,
            row=parsed_sheet.guarantee_rows[index],
            code=codes.ResultCode.SHEET_DOES_NOT_FIT,
            message=(
                "the pool has no capacity for this guarantee beside the others"
            ),
        )
        for index in guarantee_feasibility.infeasible_guarantees(
            parsed_sheet.configuration, pool.workers
        )
    )
    if not faults:
        return parsed_sheet
    return msgspec.structs.replace(
        parsed_sheet, configuration=None, faults=faults
    )
