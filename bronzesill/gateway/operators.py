"""Authentication of operators."""

from __future__ import annotations

from falcon import asgi

from ..config import Document
from ..utils import BronzesillError, ResultCode, hash_secret

__all__ = ['authenticate_operator']

_NAME_HEADER = 'X-Operator'
_KEY_HEADER = 'X-Operator-Key'


def authenticate_operator(http: asgi.Request, document: Document | None) -> str:
    """
    Authenticate the operator who sent a request and return the name.

    While no operators are configured, any name is accepted.

    :param http: the request.
    :param document: configuration in force, ``None`` if there is none yet.
    :raises BronzesillError: ``OPERATOR_REJECTED``, the name is unknown or the
        key does not match.
    """
    name = http.get_header(_NAME_HEADER) or ''
    operators = document.operators if document else {}
    if not operators:
        return name or 'unnamed'
    operator = operators.get(name)
    digest = hash_secret(http.get_header(_KEY_HEADER) or '')
    if operator is None or operator.key_sha256 != digest:
        raise BronzesillError(
            ResultCode.OPERATOR_REJECTED,
            f'operator {name!r} is unknown or the key does not match',
        )
    return name
