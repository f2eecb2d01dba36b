"""Entry point of ``kumquatport-balancer``."""

import sys

from kumquatport.process import settings
from kumquatport.process.balancer import const, service
from kumquatport.process.program import entry


def main() -> int:
    """Run the balancer and return its exit code."""
    return entry.run(
        const.PROGRAM,
        settings.load_balancer,
        service.Balancer,
        description=const.DESCRIPTION,
    )


if __name__ == '__main__':
    sys.exit(main())
