"""Base exception of the package, with a result code and a message."""

from .codes import HTTP_STATUS_BY_CODE, ResultCode

__all__ = ['BronzesillError']

_DEFAULT_HTTP_STATUS = 503


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
