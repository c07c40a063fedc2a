"""The operators' tool ``bronzesill``."""

from .context import Context, ToolSettings, open_context
from .output import OUTPUT_FORMATS, show, show_table

__all__ = [
    'OUTPUT_FORMATS',
    'Context',
    'ToolSettings',
    'open_context',
    'show',
    'show_table',
]
