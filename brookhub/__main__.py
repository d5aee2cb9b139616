"""`python -m brookhub`: the command line of `brookhub`; without arguments, `brookhub run` by NODE_CONFIG.

Serving imports nothing of the command line: its libraries are no part of a gateway's memory.
"""

import sys


def main() -> int:
    """Serve, or do what the arguments say; the exit code."""
    if len(sys.argv) > 1:
        from .cli import main as command_line

        command_line(prog_name="brookhub")  # exits with the command's code
        return 0
    from .program.run import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
