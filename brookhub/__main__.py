"""Entry point of `python -m brookhub`: the command line, or the gateway if there are no arguments.

The gateway reads the start file that NODE_CONFIG names, as `brookhub run` does. Serving does not import the
command line, so that its libraries take no memory in a gateway.
"""

import sys


def main() -> int:
    """Serve, or run the command in the arguments; return the exit code."""
    if len(sys.argv) > 1:
        from .cli import main as command_line

        command_line(prog_name="brookhub")  # Exits with the command's exit code.
        return 0
    from .program.run import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
