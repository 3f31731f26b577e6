"""Result codes of all responses, and what each of them means to a caller."""

import enum

import msgspec

__all__ = ["CODES", "CodeInfo", "ResultCode", "info"]


class ResultCode(enum.IntEnum):
    """Result code of a request, a job or a configuration change.

    The thousands digit is the family: 1xxx success, 2xxx permanent refusal,
    3xxx refusal that may be retried later, 4xxx outcome of accepted work,
    5xxx error in a configuration sheet, 6xxx error in the settings file, 7xxx
    result of a configuration change, 9xxx internal or communication error.
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
    """Description of a result code for its receiver.

    Attributes:
        code: Result code.
        proves_not_run: Whether the code guarantees that the work did not run.
        retry: Whether the same request may succeed later.
        meaning: What happened.
        action: What the caller should do.
    """

    code: ResultCode
    proves_not_run: bool
    retry: bool
    meaning: str
    action: str


def _code_info(
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


_Code = ResultCode
_FIX_SHEET = "Correct the named row and publish again."
_FIX_SETTING = "Correct the named key and start again."
_RETRY_LATER = "Send the request again after retry_after_ms."

CODES: dict[ResultCode, CodeInfo] = {
    row.code: row
    for row in (
        _code_info(_Code.OK, False, False, "The call succeeded.", "Nothing."),
        _code_info(
            _Code.ACCEPTED,
            False,
            False,
            "The job is recorded and will be run or refused.",
            "Ask for the job's status.",
        ),
        _code_info(
            _Code.DONE, False, False, "The work completed whole.", "Nothing."
        ),
        _code_info(
            _Code.IN_PROGRESS,
            False,
            False,
            "The job has no final result yet.",
            "Ask again, with wait_ms to wait.",
        ),
        _code_info(
            _Code.UNKNOWN_ACCOUNT,
            True,
            False,
            "The configuration has no such client account.",
            "Check the account name or publish a sheet that has it.",
        ),
        _code_info(
            _Code.INVALID_REQUEST,
            True,
            False,
            "A field of the request is missing or wrong.",
            "Correct the named field.",
        ),
        _code_info(
            _Code.NEVER_FITS,
            True,
            False,
            "No failure domain could ever hold the gang.",
            "Ask for fewer or smaller tasks or a wider adjacency.",
        ),
        _code_info(
            _Code.OVER_ALLOWANCE,
            True,
            False,
            "The gang is larger than the trial account's allowance.",
            "Ask for fewer accelerators or a larger allowance.",
        ),
        _code_info(
            _Code.KEY_REUSED,
            True,
            False,
            "The idempotency key was used with another body.",
            "Use a new key for new work.",
        ),
        _code_info(
            _Code.TOO_LARGE,
            True,
            False,
            "The body is larger than the daemon accepts.",
            "Send a smaller body.",
        ),
        _code_info(
            _Code.UNKNOWN_JOB,
            False,
            False,
            "No record of the job is left or it never existed.",
            "Check the id; old jobs end with the log's retention.",
        ),
        _code_info(
            _Code.DEADLINE_PASSED,
            True,
            False,
            "The deadline passed before the work could start.",
            "Send it again with a later deadline.",
        ),
        _code_info(
            _Code.DECLARED_TIME_TOO_LONG,
            True,
            False,
            "The declared run time cannot end before the deadline.",
            "Declare a shorter time or a later deadline.",
        ),
        _code_info(
            _Code.QUEUE_FULL,
            True,
            True,
            "The account's queue is at its bound.",
            _RETRY_LATER,
        ),
        _code_info(
            _Code.NO_CONFIGURATION,
            True,
            True,
            "The VM has no trustworthy configuration.",
            _RETRY_LATER,
        ),
        _code_info(
            _Code.DRAINING,
            True,
            True,
            "The VM is stopping and takes no new work.",
            "Send it again; the balancer picks another VM.",
        ),
        _code_info(
            _Code.HOME_UNREACHABLE,
            True,
            True,
            "The home failure domain of the work cannot be reached.",
            _RETRY_LATER,
        ),
        _code_info(
            _Code.NOT_DURABLE,
            True,
            True,
            "Neither the log nor enough peers could keep the record.",
            _RETRY_LATER,
        ),
        _code_info(
            _Code.RATE_LIMITED,
            True,
            True,
            "The account sends faster than its limit.",
            _RETRY_LATER,
        ),
        _code_info(
            _Code.NO_SLOT,
            True,
            True,
            "No runner had a free slot before the time limit.",
            _RETRY_LATER,
        ),
        _code_info(
            _Code.REBUILDING,
            True,
            True,
            "The scheduler of the failure domain is rebuilding its state.",
            _RETRY_LATER,
        ),
        _code_info(
            _Code.FAILURE_DOMAIN_OUT,
            True,
            True,
            "The failure domain is out of service.",
            _RETRY_LATER,
        ),
        _code_info(
            _Code.TARGET_REFUSED,
            True,
            True,
            "Every target tried refused the work before it ran.",
            _RETRY_LATER,
        ),
        _code_info(
            _Code.FAILED_BY_JOB,
            False,
            False,
            "The work ran and ended with its own failure.",
            "Read exit_code and the job's own logs.",
        ),
        _code_info(
            _Code.CANCELLED_NOT_RUN,
            True,
            False,
            "The job was cancelled before any task started.",
            "Nothing.",
        ),
        _code_info(
            _Code.CANCELLED_AFTER_START,
            False,
            False,
            "The job was cancelled after a start; tasks may have run.",
            "Expect partial effects.",
        ),
        _code_info(
            _Code.INTERRUPTED,
            False,
            False,
            "The job started, was stopped and must not be repeated.",
            "Check its effects before sending new work.",
        ),
        _code_info(
            _Code.OUTCOME_UNKNOWN,
            False,
            False,
            "The work may have run; no proof either way is left.",
            "Check its effects before sending new work.",
        ),
        _code_info(
            _Code.FAILED_EVERYWHERE,
            False,
            False,
            "The job failed on several distinct workers.",
            "Correct the job; the workers are healthy.",
        ),
        *(
            _code_info(code, True, False, meaning, _FIX_SHEET)
            for code, meaning in (
                (_Code.SHEET_HEADER, "The header is not the expected one."),
                (_Code.SHEET_ENCODING, "The file is not valid UTF-8."),
                (_Code.SHEET_COLUMNS, "The row has too few or many cells."),
                (_Code.SHEET_KIND, "The kind is not known."),
                (_Code.SHEET_NAME, "The name is empty or malformed."),
                (_Code.SHEET_CLASS, "The class is not paying or trial."),
                (_Code.SHEET_STATE, "The state is not in or out."),
                (_Code.SHEET_NUMBER, "A number is missing or out of range."),
                (_Code.SHEET_ADJACENCY, "The adjacency is not known."),
                (_Code.SHEET_NOT_EMPTY, "A cell that does not apply is set."),
                (_Code.SHEET_DUPLICATE, "An earlier row states the same."),
                (_Code.SHEET_UNKNOWN_REFERENCE, "The row names an absent row."),
                (_Code.SHEET_DOES_NOT_FIT, "The guarantees do not fit."),
                (_Code.SHEET_TOO_LARGE, "The sheet is larger than allowed."),
                (_Code.SHEET_FORMULA, "A cell holds a formula, not a value."),
                (_Code.SHEET_EMPTY, "The sheet has no rows."),
                (
                    _Code.SHEET_CLASS_CONFLICT,
                    "The row does not suit the account's class.",
                ),
            )
        ),
        *(
            _code_info(code, True, False, meaning, _FIX_SETTING)
            for code, meaning in (
                (_Code.SETTING_UNKNOWN, "The key is not known."),
                (_Code.SETTING_MISSING, "A required key is missing."),
                (_Code.SETTING_TYPE, "The value has the wrong type."),
                (_Code.SETTING_RANGE, "The value is out of range."),
                (_Code.SETTING_ADDRESS, "The host is not an IP number."),
                (_Code.SETTING_SYNTAX, "The file is not valid TOML."),
                (_Code.SETTING_FILE, "The file cannot be read."),
            )
        ),
        _code_info(
            _Code.CONFIGURATION_ACCEPTED,
            False,
            False,
            "The change is in the log and will be in force everywhere.",
            "Nothing.",
        ),
        _code_info(
            _Code.CONFIGURATION_STALE_BASE,
            True,
            False,
            "Another change came first; nothing was changed.",
            "Compare with the version in force and publish again.",
        ),
        _code_info(
            _Code.CONFIGURATION_INVALID,
            True,
            False,
            "The change is not valid on its base; nothing was changed.",
            "Correct the named rows.",
        ),
        _code_info(
            _Code.CONFIGURATION_OUTCOME_UNKNOWN,
            False,
            True,
            "The log did not answer; the change may be in it.",
            "Ask for the version; publish again with the same record id.",
        ),
        _code_info(
            _Code.INTERNAL,
            False,
            False,
            "The system met an error of its own.",
            "Report it with the request id.",
        ),
        _code_info(
            _Code.UNREACHABLE,
            False,
            True,
            "The peer or service could not be reached.",
            _RETRY_LATER,
        ),
        _code_info(
            _Code.TIMED_OUT,
            False,
            True,
            "The answer did not come in time; the work may have run.",
            "Ask for the status before sending new work.",
        ),
        _code_info(
            _Code.PEER_KEY_REFUSED,
            False,
            False,
            "A peer connection was refused for its key.",
            "Check the CURVE keys in the settings.",
        ),
    )
}


def info(code: ResultCode) -> CodeInfo:
    """Looks up the description of a result code.

    Args:
        code: Any result code.

    Returns:
        The entry of `CODES` for the code.

    Example:
        >>> info(ResultCode.QUEUE_FULL).proves_not_run
        True
    """
    return CODES[code]
