"""Checks whether a pool can satisfy all guarantees of a sheet at once."""

import msgspec

from citronmount.config import pool_file
from citronmount.config import sheet as sheet_lib
from citronmount.config import sheet_faults
from citronmount.core import codes
from citronmount.core import guarantee_feasibility

__all__ = ["check"]


def check(sheet: sheet_lib.Sheet, pool: pool_file.Pool) -> sheet_lib.Sheet:
    """Adds a fault for every guarantee that the pool cannot satisfy.

    Args:
        sheet: The sheet as it was read.
        pool: The pool; only its workers matter.

    Returns:
        The same sheet if all guarantees are feasible together or the sheet
        already has faults. Otherwise a copy without configuration that lists
        one fault for each infeasible guarantee.
    """
    if sheet.configuration is None:
        return sheet
    faults = tuple(
        sheet_faults.SheetFault(
            file=sheet.file,
            row=sheet.guarantee_rows[index],
            code=codes.ResultCode.SHEET_DOES_NOT_FIT,
            message="the pool cannot satisfy this guarantee and the others",
        )
        for index in guarantee_feasibility.infeasible_guarantees(
            sheet.configuration, pool.workers
        )
    )
    if not faults:
        return sheet
    return msgspec.structs.replace(sheet, configuration=None, faults=faults)
