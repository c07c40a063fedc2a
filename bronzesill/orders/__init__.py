"""Orders to backend servers: fencing, one writer, limited parallel loads."""

from .budget import LoadSlot, LoadSlots
from .client import OrderClient, SendResult
from .controller import OrdersController
from .decisions import ObservedServer, Step, WriterState, next_step
from .record import OrderKind, OrderRecord, OrderState, has_ended
from .repository import OrderRepository, StoredOrder

__all__ = [
    'LoadSlot',
    'LoadSlots',
    'ObservedServer',
    'OrderClient',
    'OrderKind',
    'OrderRecord',
    'OrderRepository',
    'OrderState',
    'OrdersController',
    'SendResult',
    'Step',
    'StoredOrder',
    'WriterState',
    'has_ended',
    'next_step',
]
