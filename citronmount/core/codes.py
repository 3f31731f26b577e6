"""The numbered result codes that every answer of the system carries."""

import enum

import msgspec

__all__ = ["CODES", "CodeInfo", "ResultCode", "info"]


class ResultCode(enum.IntEnum):
    """Every result code, by family.

    1xxx are good results, 2xxx final refusals, 3xxx refusals worth a later
    retry, 4xxx ends of work that was accepted, 5xxx faults of a sheet, 6xxx
    faults of settings, 7xxx results of a configuration change and 9xxx faults
    of the system.
    """

    OK = 1000
    ACCEPTED = 1001
    DONE = 1002
    IN_PROGRESS = 1003

    UNKNOWN_ACCOUNT = 2001
    INVALID_REQUEST = 2002
    NEVER_FITS = 2003
    OVER_ALLOWANCE = 2004
    KEY_REUSED = 2005
    TOO_LARGE = 2006
    UNKNOWN_JOB = 2007
    DEADLINE_PASSED = 2008
    DECLARED_TIME_TOO_LONG = 2009

    QUEUE_FULL = 3001
    NO_CONFIGURATION = 3002
    DRAINING = 3003
    HOME_UNREACHABLE = 3004
    NOT_DURABLE = 3005
    RATE_LIMITED = 3006
    NO_SLOT = 3007
    REBUILDING = 3008
    FAILURE_DOMAIN_OUT = 3009
    TARGET_REFUSED = 3010

    FAILED_BY_JOB = 4001
    CANCELLED_NOT_RUN = 4002
    CANCELLED_AFTER_START = 4003
    INTERRUPTED = 4004
    OUTCOME_UNKNOWN = 4005
    FAILED_EVERYWHERE = 4006

    SHEET_HEADER = 5001
    SHEET_ENCODING = 5002
    SHEET_COLUMNS = 5003
    SHEET_KIND = 5004
    SHEET_NAME = 5005
    SHEET_CLASS = 5006
    SHEET_STATE = 5007
    SHEET_NUMBER = 5008
    SHEET_ADJACENCY = 5009
    SHEET_NOT_EMPTY = 5010
    SHEET_DUPLICATE = 5011
    SHEET_UNKNOWN_REFERENCE = 5012
    SHEET_DOES_NOT_FIT = 5013
    SHEET_TOO_LARGE = 5014
    SHEET_FORMULA = 5015
    SHEET_EMPTY = 5016
    SHEET_CLASS_CONFLICT = 5017

    SETTING_UNKNOWN = 6001
    SETTING_MISSING = 6002
    SETTING_TYPE = 6003
    SETTING_RANGE = 6004
    SETTING_ADDRESS = 6005
    SETTING_SYNTAX = 6006
    SETTING_FILE = 6007

    CONFIGURATION_ACCEPTED = 7000
    CONFIGURATION_STALE_BASE = 7001
    CONFIGURATION_INVALID = 7002
    CONFIGURATION_OUTCOME_UNKNOWN = 7003

    INTERNAL = 9001
    UNREACHABLE = 9002
    TIMED_OUT = 9003
    PEER_KEY_REFUSED = 9004


class CodeInfo(msgspec.Struct, frozen=True, kw_only=True):
    """What a result code tells its receiver.

    Attributes:
        code: The result code.
        proves_not_run: Whether the code proves that the work was not run.
        retry: Whether the same request may succeed later.
        meaning: What happened.
        action: What the caller should do.
    """

    code: ResultCode
    proves_not_run: bool
    retry: bool
    meaning: str
    action: str


def _row(
    code: ResultCode,
    proves_not_run: bool,
    retry: bool,
    meaning: str,
    action: str,
) -> CodeInfo:
    return CodeInfo(
        code=code,
        proves_not_run=proves_not_run,
        retry=retry,
        meaning=meaning,
        action=action,
    )


_C = ResultCode
_FIX_SHEET = "Correct the named row and publish again."
_FIX_SETTING = "Correct the named key and start again."
_LATER = "Send the request again after retry_after_ms."

CODES: dict[ResultCode, CodeInfo] = {
    row.code: row
    for row in (
        _row(_C.OK, False, False, "The call succeeded.", "Nothing."),
        _row(
            _C.ACCEPTED,
            False,
            False,
            "The job is recorded and will be run or refused.",
            "Ask for the job's status.",
        ),
        _row(_C.DONE, False, False, "The work completed whole.", "Nothing."),
        _row(
            _C.IN_PROGRESS,
            False,
            False,
            "The job has no final result yet.",
            "Ask again, with wait_ms to wait.",
        ),
        _row(
            _C.UNKNOWN_ACCOUNT,
            True,
            False,
            "The configuration has no such client account.",
            "Check the account name or publish a sheet that has it.",
        ),
        _row(
            _C.INVALID_REQUEST,
            True,
            False,
            "A field of the request is missing or wrong.",
            "Correct the named field.",
        ),
        _row(
            _C.NEVER_FITS,
            True,
            False,
            "No failure domain could ever hold the gang.",
            "Ask for fewer or smaller tasks or a wider adjacency.",
        ),
        _row(
            _C.OVER_ALLOWANCE,
            True,
            False,
            "The gang is larger than the trial account's allowance.",
            "Ask for fewer accelerators or a larger allowance.",
        ),
        _row(
            _C.KEY_REUSED,
            True,
            False,
            "The idempotency key was used with another body.",
            "Use a new key for new work.",
        ),
        _row(
            _C.TOO_LARGE,
            True,
            False,
            "The body is larger than the daemon accepts.",
            "Send a smaller body.",
        ),
        _row(
            _C.UNKNOWN_JOB,
            False,
            False,
            "No record of the job is left or it never existed.",
            "Check the id; old jobs end with the log's retention.",
        ),
        _row(
            _C.DEADLINE_PASSED,
            True,
            False,
            "The deadline passed before the work could start.",
            "Send it again with a later deadline.",
        ),
        _row(
            _C.DECLARED_TIME_TOO_LONG,
            True,
            False,
            "The declared run time cannot end before the deadline.",
            "Declare a shorter time or a later deadline.",
        ),
        _row(
            _C.QUEUE_FULL,
            True,
            True,
            "The account's queue is at its bound.",
            _LATER,
        ),
        _row(
            _C.NO_CONFIGURATION,
            True,
            True,
            "The VM has no trustworthy configuration.",
            _LATER,
        ),
        _row(
            _C.DRAINING,
            True,
            True,
            "The VM is stopping and takes no new work.",
            "Send it again; the balancer picks another VM.",
        ),
        _row(
            _C.HOME_UNREACHABLE,
            True,
            True,
            "The home failure domain of the work cannot be reached.",
            _LATER,
        ),
        _row(
            _C.NOT_DURABLE,
            True,
            True,
            "Neither the log nor enough peers could keep the record.",
            _LATER,
        ),
        _row(
            _C.RATE_LIMITED,
            True,
            True,
            "The account sends faster than its limit.",
            _LATER,
        ),
        _row(
            _C.NO_SLOT,
            True,
            True,
            "No runner had a free slot before the time limit.",
            _LATER,
        ),
        _row(
            _C.REBUILDING,
            True,
            True,
            "The scheduler of the failure domain is rebuilding its state.",
            _LATER,
        ),
        _row(
            _C.FAILURE_DOMAIN_OUT,
            True,
            True,
            "The failure domain is out of service.",
            _LATER,
        ),
        _row(
            _C.TARGET_REFUSED,
            True,
            True,
            "Every target tried refused the work before it ran.",
            _LATER,
        ),
        _row(
            _C.FAILED_BY_JOB,
            False,
            False,
            "The work ran and ended with its own failure.",
            "Read exit_code and the job's own logs.",
        ),
        _row(
            _C.CANCELLED_NOT_RUN,
            True,
            False,
            "The job was cancelled before any task started.",
            "Nothing.",
        ),
        _row(
            _C.CANCELLED_AFTER_START,
            False,
            False,
            "The job was cancelled after a start; tasks may have run.",
            "Expect partial effects.",
        ),
        _row(
            _C.INTERRUPTED,
            False,
            False,
            "The job started, was stopped and must not be repeated.",
            "Check its effects before sending new work.",
        ),
        _row(
            _C.OUTCOME_UNKNOWN,
            False,
            False,
            "The work may have run; no proof either way is left.",
            "Check its effects before sending new work.",
        ),
        _row(
            _C.FAILED_EVERYWHERE,
            False,
            False,
            "The job failed on several distinct workers.",
            "Correct the job; the workers are healthy.",
        ),
        *(
            _row(code, True, False, meaning, _FIX_SHEET)
            for code, meaning in (
                (_C.SHEET_HEADER, "The header is not the expected one."),
                (_C.SHEET_ENCODING, "The file is not valid UTF-8."),
                (_C.SHEET_COLUMNS, "The row has too few or many cells."),
                (_C.SHEET_KIND, "The kind is not known."),
                (_C.SHEET_NAME, "The name is empty or malformed."),
                (_C.SHEET_CLASS, "The class is not paying or trial."),
                (_C.SHEET_STATE, "The state is not in or out."),
                (_C.SHEET_NUMBER, "A number is missing or out of range."),
                (_C.SHEET_ADJACENCY, "The adjacency is not known."),
                (_C.SHEET_NOT_EMPTY, "A cell that does not apply is set."),
                (_C.SHEET_DUPLICATE, "An earlier row states the same."),
                (_C.SHEET_UNKNOWN_REFERENCE, "The row names an absent row."),
                (_C.SHEET_DOES_NOT_FIT, "The guarantees do not fit."),
                (_C.SHEET_TOO_LARGE, "The sheet is larger than allowed."),
                (_C.SHEET_FORMULA, "A cell holds a formula, not a value."),
                (_C.SHEET_EMPTY, "The sheet has no rows."),
                (
                    _C.SHEET_CLASS_CONFLICT,
                    "The row does not suit the account's class.",
                ),
            )
        ),
        *(
            _row(code, True, False, meaning, _FIX_SETTING)
            for code, meaning in (
                (_C.SETTING_UNKNOWN, "The key is not known."),
                (_C.SETTING_MISSING, "A required key is missing."),
                (_C.SETTING_TYPE, "The value has the wrong type."),
                (_C.SETTING_RANGE, "The value is out of range."),
                (_C.SETTING_ADDRESS, "The host is not an IP number."),
                (_C.SETTING_SYNTAX, "The file is not valid TOML."),
                (_C.SETTING_FILE, "The file cannot be read."),
            )
        ),
        _row(
            _C.CONFIGURATION_ACCEPTED,
            False,
            False,
            "The change is in the log and will be in force everywhere.",
            "Nothing.",
        ),
        _row(
            _C.CONFIGURATION_STALE_BASE,
            True,
            False,
            "Another change came first; nothing was changed.",
            "Compare with the version in force and publish again.",
        ),
        _row(
            _C.CONFIGURATION_INVALID,
            True,
            False,
            "The change is not valid on its base; nothing was changed.",
            "Correct the named rows.",
        ),
        _row(
            _C.CONFIGURATION_OUTCOME_UNKNOWN,
            False,
            True,
            "The log did not answer; the change may be in it.",
            "Ask for the version; publish again with the same record id.",
        ),
        _row(
            _C.INTERNAL,
            False,
            False,
            "The system met an error of its own.",
            "Report it with the request id.",
        ),
        _row(
            _C.UNREACHABLE,
            False,
            True,
            "The peer or service could not be reached.",
            _LATER,
        ),
        _row(
            _C.TIMED_OUT,
            False,
            True,
            "The answer did not come in time; the work may have run.",
            "Ask for the status before sending new work.",
        ),
        _row(
            _C.PEER_KEY_REFUSED,
            False,
            False,
            "A peer connection was refused for its key.",
            "Check the CURVE keys in the settings.",
        ),
    )
}


def info(code: ResultCode) -> CodeInfo:
    """Returns the description of a result code.

    Args:
        code: Any result code.

    Returns:
        Its row of the table.

    Example:
        >>> info(ResultCode.QUEUE_FULL).proves_not_run
        True
    """
    return CODES[code]
