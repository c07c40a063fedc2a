"""
Numeric result codes and the exception that carries one.

``docs/result_codes.rst`` documents the codes.
"""

import enum
import types

__all__ = ['HTTP_STATUS_BY_CODE', 'BronzesillError', 'ResultCode']

_DEFAULT_HTTP_STATUS = 503


class ResultCode(enum.IntEnum):
    """Outcome of a request, call, order or command-line operation."""

    DONE = 0

    # 1000-1999: rejected before execution started ("not run").
    MALFORMED_BODY = 1001
    BODY_TOO_LARGE = 1002
    BODY_TOO_SLOW = 1003
    KEY_REJECTED = 1004
    MODEL_UNKNOWN = 1005
    ROUTE_UNKNOWN = 1006
    FIELD_INVALID = 1007
    QUOTA_EXCEEDED = 1008
    QUEUE_FULL = 1009
    QUEUE_TIMEOUT = 1010
    NOT_READY = 1011
    STOPPING = 1012
    NO_BACKEND_SERVER = 1013
    REQUEST_ID_CONFLICT = 1014
    REQUEST_BLOCKED = 1015
    MEMORY_SHORT = 1016

    # 2000-2999: generations that were started.
    INCOMPLETE_DEADLINE = 2001
    INCOMPLETE_NO_SERVER = 2002
    INCOMPLETE_RETRIES = 2003
    GENERATION_LOST = 2004
    DIGEST_MISMATCH = 2005
    CALLER_LEFT = 2006
    REQUEST_UNKNOWN = 2007

    # 3000-3999: calls to plain services.
    CALL_NOT_RUN = 3001
    CALL_OUTCOME_UNKNOWN = 3002
    CALL_IN_PROGRESS = 3003
    CALL_KEY_REUSED = 3004
    CALL_KEY_EXPIRED = 3005
    CALL_FAILED = 3006
    CALL_TIMED_OUT = 3007

    # 4000-4999: settings and configuration.
    DOCUMENT_INVALID = 4001
    REVISION_CONFLICT = 4002
    REVISION_OLDER = 4003
    NOT_IN_FORCE = 4004

    # 5000-5999: traffic moves between versions, and orders.
    MOVE_CONFLICT = 5001
    MOVE_ENDED = 5002
    MOVE_UNKNOWN = 5003
    FENCING_REJECTED = 5004

    # 6000-6999: platform store and peer daemons.
    STORE_UNAVAILABLE = 6001
    STORE_ANSWER_LOST = 6002
    PEER_UNAVAILABLE = 6003
    MESSAGE_INVALID = 6004

    # 7000-7999: command-line tool.
    USAGE = 7001
    OPERATOR_REJECTED = 7002


HTTP_STATUS_BY_CODE = types.MappingProxyType(
    {
        ResultCode.MALFORMED_BODY: 400,
        ResultCode.BODY_TOO_LARGE: 413,
        ResultCode.BODY_TOO_SLOW: 408,
        ResultCode.KEY_REJECTED: 401,
        ResultCode.MODEL_UNKNOWN: 404,
        ResultCode.ROUTE_UNKNOWN: 404,
        ResultCode.FIELD_INVALID: 400,
        ResultCode.QUOTA_EXCEEDED: 429,
        ResultCode.QUEUE_FULL: 429,
        ResultCode.REQUEST_ID_CONFLICT: 409,
        ResultCode.DIGEST_MISMATCH: 409,
        ResultCode.CALL_IN_PROGRESS: 409,
        ResultCode.CALL_KEY_REUSED: 422,
        ResultCode.CALL_KEY_EXPIRED: 409,
        ResultCode.CALL_OUTCOME_UNKNOWN: 409,
        ResultCode.CALL_FAILED: 502,
        ResultCode.CALL_TIMED_OUT: 504,
        ResultCode.OPERATOR_REJECTED: 401,
        ResultCode.DOCUMENT_INVALID: 422,
        ResultCode.REVISION_CONFLICT: 409,
        ResultCode.MOVE_CONFLICT: 409,
        ResultCode.MOVE_ENDED: 409,
        ResultCode.MOVE_UNKNOWN: 404,
    }
)


class BronzesillError(Exception):
    """
    Raised if an operation does not succeed.

    :param code: result code.
    :param message: one sentence shown to the caller or operator.
    :param retry_after_s: seconds to wait before a retry, none if a retry is
        not advised.
    """

    def __init__(
        self,
        code: ResultCode,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        return f'[{int(self.code)}] {self.message}'

    @property
    def http_status(self) -> int:
        """HTTP status for the code, 503 for codes without a specific one."""
        return HTTP_STATUS_BY_CODE.get(self.code, _DEFAULT_HTTP_STATUS)
