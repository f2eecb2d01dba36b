"""Report of an agent on the capacity that its backend server has left."""

import typing
from collections import abc

import xxhash

from kumquatport.connection.packets import flow_table, service_times
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    known_configuration,
    messages,
)
from kumquatport.version import routes

# Priorities whose wait is reported. Lower ones wait at least as long as the last.
_PRIORITIES: typing.Final = (0, 1, 2, 3)

# Number of tags of routes. Routes of one service that share a tag are compared
# with each other; a service has few.
_ROUTE_TAGS: typing.Final = 256


class CapacityReporter:
    """Determines the capacity report that heartbeats carry."""

    def __init__(
        self,
        service: str,
        configuration: known_configuration.KnownConfiguration,
        flows: flow_table.FlowTable,
        expected_wait_s: abc.Callable[[int], float | None],
    ) -> None:
        """Start without knowledge of the routes.

        Args:
            service: Service of the backend server.
            configuration: Configuration known to this process.
            flows: Flows of the backend server.
            expected_wait_s: Returns the seconds that a request of a priority
                would wait for a slot; None if they are unknown.
        """
        self._service = service
        self._configuration = configuration
        self._flows = flows
        self._expected_wait_s = expected_wait_s
        self._table: routes.RouteTable | None = None
        self._has_objective = False

    def capacity(self) -> messages.CapacityReport | None:
        """Return the report; None if it is unknown or no route needs it."""
        if not self._is_needed():
            return None
        work_s = self._flows.service_times.overall_mean_s(clock.now())
        waits_s = tuple(map(self._expected_wait_s, _PRIORITIES))
        known_s = [wait_s for wait_s in waits_s if wait_s is not None]
        if work_s is None or len(known_s) < len(_PRIORITIES):
            return None
        first, second, third, lower = known_s
        return self._with_routes(
            messages.CapacityReport((first, second, third, lower), work_s)
        )

    def _with_routes(
        self, capacity: messages.CapacityReport
    ) -> messages.CapacityReport:
        """Return a capacity report with what is measured by route."""
        now = clock.now()
        times = self._flows.service_times
        committed = self._flows.committed_s(now) / self._flows.slots
        route = times.busiest_route(now)
        if route is None:
            return capacity._replace(committed=committed)
        return capacity._replace(
            committed=committed,
            main_route=_route_tag(route),
            main_work_s=times.mean_s(route, now) or 0,
        )

    def _is_needed(self) -> bool:
        """Return whether a route of the service states an objective."""
        table = self._configuration.routes
        if table is not self._table:
            self._table = table
            self._has_objective = table is not None and any(
                route.request_class is not None
                and table.allows(route.address, route.port, self._service)
                for route in table.routes.values()
            )
        return self._has_objective


def _route_tag(route: service_times.RouteKey) -> int:
    address, port = route
    return xxhash.xxh32_intdigest(f'{address}:{port}'.encode()) % _ROUTE_TAGS
