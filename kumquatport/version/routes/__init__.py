"""Which service may open a flow, by the address and port that it calls."""

from kumquatport.version.routes.model import (
    Route,
    RouteTable,
    ServiceRule,
    Share,
    encode,
    parse,
)

__all__ = (
    'Route',
    'RouteTable',
    'ServiceRule',
    'Share',
    'encode',
    'parse',
)
