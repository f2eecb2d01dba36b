"""Entry point of the programs on the users' platform.

It binds the sockets before it imports the programs.
"""

# Imported before the other modules, which take long to load.
from kumquatport.process.program import ignore_sighup  # noqa: F401, I001 - it acts when imported

import sys

from kumquatport.platform import prebind


def main() -> int:
    """Run a program and return its exit code."""
    prebind.bind()
    from kumquatport.platform import program

    return program.main()


if __name__ == '__main__':
    sys.exit(main())
