"""The decisions on the simulator's wire: frames in on standard input, frames out on standard output."""
