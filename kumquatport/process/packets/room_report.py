"""Report of an agent on the capacity that its backend server has left."""

from kumquatport.connection.packets import flow_table
from kumquatport.helpers import clock
from kumquatport.process.packets import (
    backend_server,
    known_configuration,
    messages,
)
from kumquatport.version import routes


class RoomReport:
    """Determines the room that heartbeats carry."""

    def __init__(
        self,
        service: str,
        configuration: known_configuration.KnownConfiguration,
        flows: flow_table.FlowTable,
        server: backend_server.BackendServer,
    ) -> None:
        """Start without knowledge of the routes.

        Args:
            service: Service of the backend server.
            configuration: Configuration known to this process.
            flows: Flows of the backend server.
            server: The backend server.
        """
        self._service = service
        self._configuration = configuration
        self._flows = flows
        self._server = server
        self._table: routes.RouteTable | None = None
        self._has_objective = False

    def room(self) -> messages.Room | None:
        """Return the room; None if it is unknown or no route needs it."""
        if not self._is_needed() or self._server.report is None:
            return None
        now = clock.now()
        work_s = self._flows.service_times.overall_mean_s(now)
        if work_s is None:
            return None
        slots = self._server.slots
        wait_s = queue_wait_s(self._flows.busy, slots, work_s)
        return messages.Room(
            (wait_s, wait_s, wait_s, wait_s),
            work_s,
            self._flows.committed_s(now) / max(slots, 1),
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


def queue_wait_s(busy: int, slots: int, work_s: float) -> float:
    """Return the seconds until a further request meets a free slot.

    Args:
        busy: Requests in progress.
        slots: Requests that are processed concurrently.
        work_s: Mean seconds of work of a request.
    """
    ahead = busy - slots + 1
    return max(ahead, 0) * work_s / max(slots, 1)
