"""The lab: sweeps of an experiment over one or two parameters, in parallel processes, and their plots.

Results: one JSON line a point and seed (`results.jsonl`), with its latency histogram (HdrHistogram, encoded).
A sweep cut off resumes: points whose line is written are not played again.
"""
