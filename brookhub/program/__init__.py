"""The gateway process: its start file, the limits of its parts, its log, its start and its shutdown."""
