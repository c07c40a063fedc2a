"""Orders to backend servers: fencing, one writer, limited parallel loads."""

from .client import OrderClient, SendResult
from .controller import OrdersController
from .decisions import ObservedServer, Step, WriterState, next_step
from .load_slots import LoadSlot, LoadSlots
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
