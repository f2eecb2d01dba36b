"""Entry point of ``kumquatport-agent``."""

import sys

from kumquatport.process import program, settings
from kumquatport.process.agent import const, service


def main() -> int:
    """Run the agent; return its exit code."""
    return program.run(
        const.PROGRAM,
        settings.load_agent,
        service.Agent,
        description=const.DESCRIPTION,
    )


if __name__ == '__main__':
    sys.exit(main())
