"""Routes, services and accounts that a soak under high load adds."""

from __future__ import annotations

from typing import Any

__all__ = [
    'ACCOUNTS',
    'BULK_ROUTE',
    'EAGER_ACCOUNT',
    'UPLOAD_ROUTE',
    'UPLOAD_SERVICE',
    'URGENT_ROUTE',
    'account_key',
    'add_load',
]

URGENT_ROUTE = 'guides'
BULK_ROUTE = 'bulk'
UPLOAD_ROUTE = 'uploads'
UPLOAD_SERVICE = 'uploads'
#: Accounts of the callers that wait as they are told.
ACCOUNTS = ('huka', 'kea', 'tui')
#: Account of the caller that repeats refused requests at once.
EAGER_ACCOUNT = 'eager'
_URGENT_PRIORITY = 0
_BULK_PRIORITY = 2


def account_key(account: str) -> str:
    """Return the API key of an account."""
    return f'key-of-{account}'


def add_load(document: dict[str, Any]) -> None:
    """
    Add routes of two priorities, one for uploads, and the accounts.

    :param document: configuration document, which is changed.
    """
    urgent, orders, *_ = document['routes']
    urgent['priority'] = _URGENT_PRIORITY
    bulk = {**urgent, 'name': BULK_ROUTE, 'priority': _BULK_PRIORITY}
    uploads = {**orders, 'name': UPLOAD_ROUTE, 'service': UPLOAD_SERVICE}
    for route in (bulk, uploads):
        route['prefix'] = f'/{route["name"]}/'
        document['routes'].append(route)
    document['services'].append({'name': UPLOAD_SERVICE})
    document['tenants'] = [
        {'name': name, 'apiKeys': [account_key(name)]}
        for name in (*ACCOUNTS, EAGER_ACCOUNT)
    ]
