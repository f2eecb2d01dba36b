"""Decides whether an opening packet without an agent waits or gets a reset.

In the seconds after many processes were killed at once, no agent may be
available yet. Clients retransmit an opening packet twice on their own. A
client that gets a reset starts a new flow at once, and has only few attempts.
So a packet waits for its next retransmission while an agent is expected. It
gets a reset when no retransmission follows or no agent is expected. Right
after the start of a balancer the last retransmission waits too, since the
balancer is about to receive the first heartbeat of an agent.
"""

import typing
from collections import abc

# Number of the last retransmission of an opening packet by its client.
LAST_RETRANSMISSION: typing.Final = 2

# Seconds after its own start in which a balancer expects agents to appear.
STARTUP_S: typing.Final = 2.0

# Seconds after its own start in which a balancer lets the last retransmission
# wait; the client gives up this attempt 0.8 s after it.
STARTUP_LAST_RETRANSMISSION_S: typing.Final = 0.5

# Seconds after its last heartbeat in which a silent agent is expected back; a
# process is restarted within a second or two.
RESTART_S: typing.Final = 4.0


class AgentView(typing.NamedTuple):
    """State of an agent of the service, as a balancer sees it.

    Attributes:
        silent_s: Seconds since its last heartbeat.
        is_suspect: Whether its heartbeats have stopped for too long.
        is_ready: Whether its process is neither starting nor leaving.
        accepts: Whether it accepted new flows at its last heartbeat.
    """

    silent_s: float
    is_suspect: bool
    is_ready: bool
    accepts: bool


def should_wait(
    retransmissions: int, uptime_s: float, agents: abc.Iterable[AgentView]
) -> bool:
    """Return whether a packet waits for its next retransmission.

    Args:
        retransmissions: Number of earlier transmissions of the packet.
        uptime_s: Seconds since this balancer started.
        agents: Agents of the service.
    """
    if retransmissions >= LAST_RETRANSMISSION:
        return uptime_s < STARTUP_LAST_RETRANSMISSION_S
    return uptime_s < STARTUP_S or any(_is_expected(agent) for agent in agents)


def _is_expected(agent: AgentView) -> bool:
    if agent.is_suspect:
        return agent.silent_s < RESTART_S
    return agent.accepts or not agent.is_ready
