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
LAST_COPY: typing.Final = 2

# Seconds after its own start within which a balancer expects agents to appear.
START_S: typing.Final = 2.0

# Seconds after its own start within which a balancer has the last copy wait; its
# client gives this try up 0.8 s after that copy.
START_LAST_S: typing.Final = 0.5

# Seconds after its last heartbeat within which a silent agent is expected back:
# a process is started again within a second or two.
RETURN_S: typing.Final = 4.0


class Sight(typing.NamedTuple):
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


def waits(copy: int, up_s: float, agents: abc.Iterable[Sight]) -> bool:
    """Tell whether a packet waits for its next copy.

    Args:
        copy: How many copies went before it.
        up_s: Seconds since this balancer started.
        agents: Those of the service.
    """
    if copy >= LAST_COPY:
        return up_s < START_LAST_S
    return up_s < START_S or any(_is_expected(agent) for agent in agents)


def _is_expected(agent: Sight) -> bool:
    if agent.is_suspect:
        return agent.silent_s < RETURN_S
    return agent.accepts or not agent.is_ready
