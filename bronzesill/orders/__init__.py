"""Orders to backend servers: fencing, one writer, the load budget."""

from .budget import LoadSlot, LoadSlots
from .client import OrderClient, SendResult
from .controller import OrdersController
from .decisions import ServerSight, Step, WriterState, next_step
from .record import OrderKind, OrderRecord, OrderState, has_ended
from .repository import HeldOrder, OrderRepository

__all__ = [
    'HeldOrder',
    'LoadSlot',
    'LoadSlots',
    'OrderClient',
    'OrderKind',
    'OrderRecord',
    'OrderRepository',
    'OrderState',
    'OrdersController',
    'SendResult',
    'ServerSight',
    'Step',
    'WriterState',
    'has_ended',
    'next_step',
]
