"""The gateway process: start file, resource limits, log, startup and shutdown."""
