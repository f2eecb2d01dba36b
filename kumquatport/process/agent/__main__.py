"""Entry point of ``kumquatport-agent``."""

import sys

from kumquatport.process import settings
from kumquatport.process.agent import const, service
from kumquatport.process.program import entry
from kumquatport.process.settings import models
from kumquatport.process.tls import source


def main() -> int:
    """Run the agent and return its exit code."""
    return entry.run(
        const.PROGRAM,
        settings.load_agent,
        service.Agent,
        description=const.DESCRIPTION,
        check=_check,
    )


def _check(loaded: models.AgentSettings) -> None:
    source.load_from_files(loaded.tls)


if __name__ == '__main__':
    sys.exit(main())
