"""Experiments in the emulator and on processes: sweeps over one or two parameters, faults and plots.

A sweep runs in parallel processes and writes one JSON line per point and seed to `results.jsonl`, with the
latency histogram (HdrHistogram, encoded). An interrupted sweep can be resumed: points that already have a
line are not run again.
"""
