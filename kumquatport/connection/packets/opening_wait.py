"""Whether an opening packet that no agent takes now is refused or waits.

Load pattern: the seconds after many processes were killed at once. Clients
send two copies of an opening packet on their own; one that is refused at once
begins a new flow at once, and has few attempts. So a packet waits for its next
copy while an agent is expected, and is refused when no copy follows, or when
nobody is expected. In the first moments of a balancer its last copy waits too,
since the first agent is about to be heard.
"""

import typing
from collections import abc

# Copies that a client sends of an opening packet.
LAST_RETRANSMISSION: typing.Final = 2

# Seconds after its own start within which a balancer expects agents to appear.
STARTUP_S: typing.Final = 2.0

# Seconds after its own start within which a balancer has the last copy wait; its
# client gives this try up 0.8 s after that copy.
STARTUP_LAST_RETRANSMISSION_S: typing.Final = 0.5

# Seconds after its last heartbeat within which a silent agent is expected back:
# a process is started again within a second or two.
RESTART_S: typing.Final = 4.0


class AgentView(typing.NamedTuple):
    """What a balancer sees of an agent of the service.

    Attributes:
        silent_s: Seconds since its last heartbeat.
        is_suspect: Whether that is too long.
        is_ready: Whether its process takes part, neither starting nor
            leaving.
        accepts: Whether it took new flows when it was last heard.
    """

    silent_s: float
    is_suspect: bool
    is_ready: bool
    accepts: bool


def should_wait(
    retransmissions: int, uptime_s: float, agents: abc.Iterable[AgentView]
) -> bool:
    """Tell whether a packet waits for its next copy.

    Args:
        retransmissions: How many copies went before it.
        uptime_s: Seconds since this balancer started.
        agents: Those of the service.
    """
    if retransmissions >= LAST_RETRANSMISSION:
        return uptime_s < STARTUP_LAST_RETRANSMISSION_S
    return uptime_s < STARTUP_S or any(_is_expected(agent) for agent in agents)


def _is_expected(agent: AgentView) -> bool:
    if agent.is_suspect:
        return agent.silent_s < RESTART_S
    return agent.accepts or not agent.is_ready
