"""Checks that the guarantees of a sheet fit together into a pool."""

import msgspec

from citronmount.config import pool_file
from citronmount.config import sheet as sheet_lib
from citronmount.config import sheet_faults
from citronmount.core import codes
from citronmount.core import guarantee_feasibility

__all__ = ["check"]


def check(sheet: sheet_lib.Sheet, pool: pool_file.Pool) -> sheet_lib.Sheet:
    """Adds a fault for every guarantee that has no place.

    Args:
        sheet: A sheet that was read.
        pool: The targets that it has to fit.

    Returns:
        The sheet, refused if any guarantee does not fit. A sheet that has
        faults already is returned as it is.
    """
    if sheet.configuration is None:
        return sheet
    faults = tuple(
        sheet_faults.SheetFault(
            file=sheet.file,
            row=sheet.guarantee_rows[index],
            code=codes.ResultCode.SHEET_DOES_NOT_FIT,
            message="the pool cannot hold this guarantee beside the others",
        )
        for index in guarantee_feasibility.infeasible_guarantees(
            sheet.configuration, pool.workers
        )
    )
    if not faults:
        return sheet
    return msgspec.structs.replace(sheet, configuration=None, faults=faults)
